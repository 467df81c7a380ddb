package benchcmd

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cyclamenstile/cyclamenstile/decision/contact"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/objectstore/httpstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
	"github.com/cyclamenstile/cyclamenstile/standin/store"
)

const (
	fixedAccounts  = 8
	fixedDatabases = 200
	// designDatabases and designAccounts are the design size, S1 and S7 in docs/CAPACITY.md.
	designDatabases = 3100
	designAccounts  = 8266
	// accountsPerRoute is the current number of client accounts per database.
	accountsPerRoute = 8
	gossipTimeout    = 10 * time.Second
)

// largeManifest returns a valid manifest with three servers and one route for each database.
func largeManifest(databases, accounts int) manifest.Manifest {
	m := manifest.Manifest{APIVersion: manifest.APIVersion, Version: 1}
	for i := range databases {
		m.Databases = append(m.Databases, largeDatabase(i))
		m.Routes = append(m.Routes, largeRoute(i, accounts))
	}
	for i := range accounts {
		m.Accounts = append(m.Accounts, manifest.Account{
			Name: accountName(i), Weight: 1, Rate: 100, Burst: 100,
			Keys: []manifest.Key{{ID: "first", SHA256: manifest.HashKey(accountName(i)).String()}},
		})
	}
	return m
}

func databaseName(i int) string {
	return fmt.Sprintf("database-%04d", i)
}

func largeDatabase(i int) manifest.Database {
	d := manifest.Database{Name: databaseName(i)}
	for s := range serversPerGroup {
		d.Servers = append(d.Servers, manifest.Server{
			ID:      fmt.Sprintf("%s-%d", d.Name, s+1),
			Address: fmt.Sprintf("10.%d.%d.%d:5432", s+1, i>>8, i&255),
			Region:  "travancore", FailureDomain: fmt.Sprintf("travancore-%d", s+1),
			MaxConnections: 20, Slots: 3,
		})
	}
	return d
}

func largeRoute(i, accounts int) manifest.Route {
	r := manifest.Route{Name: fmt.Sprintf("route-%04d", i), Database: databaseName(i)}
	for a := range min(accountsPerRoute, accounts) {
		r.Accounts = append(r.Accounts, accountName((i*accountsPerRoute+a)%accounts))
	}
	return r
}

// manifestQuantities returns the quantities of a manifest: its encoded sizes, the CPU time of decoding
// and comparing it, and its memory.
func manifestQuantities(name, per string) []quantity {
	return []quantity{
		{name + ".json", "B", per, "decision/manifest"},
		{name + ".gzip", "B", per, "decision/manifest"},
		{name + ".decode.cpu", "µs", per, "decision/manifest"},
		{name + ".diff.cpu", "µs", per, "decision/manifest"},
		{name + ".memory", "B", per, "decision/manifest"},
	}
}

func manifestDatabases() measurement {
	return measurement{
		sizes:      []int{400, 800, 1600},
		quantities: manifestQuantities("config.database", "database"),
		setUp:      withoutSetup(func(n int) ([]float64, error) { return manifestCosts(largeManifest(n, fixedAccounts)) }),
	}
}

func manifestAccounts() measurement {
	return measurement{
		sizes:      []int{1000, 2000, 4000},
		quantities: manifestQuantities("config.account", "account"),
		setUp:      withoutSetup(func(n int) ([]float64, error) { return manifestCosts(largeManifest(fixedDatabases, n)) }),
	}
}

func manifestCosts(m manifest.Manifest) ([]float64, error) {
	doc, err := m.Encode()
	if err != nil {
		return nil, err
	}
	var snapshot *manifest.Snapshot
	decode, err := cpuCost(func() (err error) { snapshot, err = decodeSnapshot(doc); return err })
	if err != nil {
		return nil, err
	}
	diff, _ := cpuCost(func() error { manifest.Diff(m, snapshot.Manifest()); return nil })
	snapshot = nil
	memory, err := retainedBytes(func() (any, error) {
		s, err := decodeSnapshot(doc)
		return s, err
	})
	return []float64{float64(len(doc)), gzipSize(doc), decode, diff, memory}, err
}

// decodeSnapshot decodes and validates a document as an instance does.
func decodeSnapshot(doc []byte) (*manifest.Snapshot, error) {
	m, err := manifest.Decode(doc)
	if err != nil {
		return nil, err
	}
	return manifest.NewSnapshot(m)
}

func gzipSize(doc []byte) float64 {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	// Writes to a bytes.Buffer never fail.
	_, _ = w.Write(doc)
	_ = w.Close()
	return float64(out.Len())
}

// manifestDelta measures deltas by the number of changed accounts, in a manifest of the design size.
// The intercepts of the CPU times are the cost of processing the whole manifest.
func manifestDelta() measurement {
	return measurement{
		sizes: []int{1, 4, 16},
		quantities: []quantity{
			{"config.delta.bytes", "B", "account changed", "decision/manifest"},
			{"config.delta.make.cpu", "µs", "account changed", "decision/manifest"},
			{"config.delta.apply.cpu", "µs", "account changed", "decision/manifest"},
		},
		setUp: func(context.Context) (measureAtSize, func(), error) {
			m := largeManifest(designDatabases, designAccounts)
			from, err := manifest.NewSnapshot(m)
			return func(n int) ([]float64, error) { return deltaCosts(from, n) }, noStop, err
		},
	}
}

func deltaCosts(from *manifest.Snapshot, changed int) ([]float64, error) {
	m := from.Manifest().Clone()
	m.Version++
	for i := range changed {
		m.Accounts[i].Rate++
	}
	to, err := manifest.NewSnapshot(m)
	if err != nil {
		return nil, err
	}
	var doc []byte
	makeCost, err := cpuCost(func() (err error) {
		d, _ := manifest.NewDelta(from, to)
		doc, err = json.Marshal(d)
		return err
	})
	if err != nil {
		return nil, err
	}
	applyCost, err := cpuCost(func() error { _, err := from.Apply([][]byte{doc}); return err })
	return []float64{float64(len(doc)), makeCost, applyCost}, err
}

// gossipPeer answers gossip calls with a digest of current content.
type gossipPeer struct {
	peerpb.DRPCPeerUnimplementedServer
	answer func() *peerpb.Digest // nil: newDigest
}

// Gossip implements peer.ConfigHandler.
func (p *gossipPeer) Gossip(context.Context, *peerpb.Digest) (*peerpb.Digest, error) {
	if p.answer != nil {
		return p.answer(), nil
	}
	return newDigest(), nil
}

func newDigest() *peerpb.Digest {
	return &peerpb.Digest{From: callerAddress, ManifestVersion: 5400 * 365, StoreContactAgeMs: 1500}
}

// gossipCall measures gossip over one persistent connection, with digests that carry no contact
// evidence.
func gossipCall() measurement {
	return gossipMeasurement("config.gossip", &gossipPeer{}, ignoreDigest)
}

func ignoreDigest(*peerpb.Digest) {}

// contactCall measures gossip with contact evidence between two instances of one group in a
// deployment of the design size.
func contactCall() measurement {
	members := peer.Members(listAcrossDomains(designInstances))
	caller, callee := contact.NewTracker(members[0].ID), contact.NewTracker("")
	caller.SetMembers(members)
	for _, m := range members[1:] {
		callee = contact.NewTracker(m.ID)
		callee.SetMembers(members)
		if len(callee.Evidence(0, members[0].ID, caller.ListFingerprint()).MemberAges) > 0 {
			break
		}
	}
	answer := func() *peerpb.Digest {
		d := newDigest()
		d.Contact = peer.EvidenceToWire(callee.Evidence(0, members[0].ID, caller.ListFingerprint()))
		return d
	}
	return gossipMeasurement("config.contact", &gossipPeer{answer: answer}, func(d *peerpb.Digest) {
		caller.RecordAnswer(0, callerAddress, peer.EvidenceFromWire(d.GetContact()))
		caller.MajorityAsOf(0)
	})
}

func gossipMeasurement(name string, handler *gossipPeer, handle func(*peerpb.Digest)) measurement {
	return measurement{
		sizes: []int{500, 1000, 2000},
		quantities: []quantity{
			{name + ".cpu", "µs", "call, both ends", "proxy/peer"},
			{name + ".bytes", "B", "call, both directions", "proxy/peer"},
		},
		setUp: func(ctx context.Context) (measureAtSize, func(), error) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, noStop, err
			}
			stopPeer, err := servePeer(ctx, listener, handler, nil)
			if err != nil {
				return nil, noStop, err
			}
			traffic := &peer.Traffic{}
			client := peer.NewClient(peer.ClientConfig{Traffic: traffic})
			call := func() error { return gossip(ctx, client, listener.Addr().String(), handle) }
			run := func(size int) ([]float64, error) {
				before := traffic.Sent.Load() + traffic.Received.Load()
				cpu, err := cpuCost(func() error { return repeat(size, call) })
				return []float64{cpu, float64(traffic.Sent.Load() + traffic.Received.Load() - before)}, err
			}
			return run, func() { _ = client.Close(); stopPeer() }, nil
		},
	}
}

func gossip(ctx context.Context, client *peer.Client, address string, handle func(*peerpb.Digest)) error {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	d := newDigest()
	d.Contact = &peerpb.Contact{List: 1 << 63}
	d, err := client.Gossip(ctx, address, d)
	if err == nil {
		handle(d)
	}
	return err
}

// contactList measures the processing of a changed instance list.
func contactList() measurement {
	return measurement{
		sizes: []int{500, 1000, 2000},
		quantities: []quantity{
			{"config.contact.list.cpu", "µs", "listed instance, for one changed list", "decision/contact"},
			{"config.contact.list.memory", "B", "listed instance", "decision/contact"},
		},
		setUp: withoutSetup(func(n int) ([]float64, error) {
			const readings = 20
			members := peer.Members(listAcrossDomains(n))
			cpu, err := cpuCost(func() error {
				for range readings {
					newContactState(members)
				}
				return nil
			})
			if err != nil {
				return nil, err
			}
			memory, err := retainedBytes(func() (any, error) { return newContactState(members), nil })
			return []float64{cpu / readings, memory}, err
		}),
	}
}

// newContactState returns the state that an instance builds when it reads a list for the first time.
func newContactState(members []contact.Member) any {
	t, p := contact.NewTracker(members[0].ID), contact.NewPlan(members[0].ID, rand.New(rand.NewSource(1)))
	t.SetMembers(members)
	p.SetMembers(members)
	return []any{t, p}
}

// listAcrossDomains returns a list of n instances spread over the failure domains of the design size.
func listAcrossDomains(n int) staticList {
	const domains = 13
	list := largeList(n)
	for i := range list {
		list[i].FailureDomain = fmt.Sprintf("travancore-%d", i%domains)
	}
	return list
}

// gossipSpread simulates how many periods a change known to one instance takes to reach all, when
// each instance exchanges digests with a few random peers per period. The size is the binary
// logarithm of the number of instances.
func gossipSpread(peers int) measurement {
	return measurement{
		sizes: []int{7, 8, 9, 10, 11},
		quantities: []quantity{{
			fmt.Sprintf("config.spread.%d", peers), "periods",
			fmt.Sprintf("doubling of the instances, %d peers a period", peers), "proxy/peer",
		}},
		setUp: withoutSetup(func(doublings int) ([]float64, error) {
			informed := make([]bool, 1<<doublings)
			informed[0] = true
			periods := 0
			for slices.Contains(informed, false) {
				informed = gossipPeriod(informed, peers)
				periods++
			}
			return []float64{float64(periods)}, nil
		}),
	}
}

// gossipPeriod returns which instances have received the change after one period.
func gossipPeriod(informed []bool, peers int) []bool {
	next := slices.Clone(informed)
	for i := range informed {
		for range peers {
			j := rand.Intn(len(informed))
			either := informed[i] || informed[j]
			next[i], next[j] = next[i] || either, next[j] || either
		}
	}
	return next
}

// gossipTerms measures how much the terms of databases add to the size of a digest.
func gossipTerms() measurement {
	return measurement{
		sizes:      []int{10, 100, 1000},
		quantities: []quantity{{"config.gossip.term", "B", "database named in a digest", "proxy/peer"}},
		setUp: withoutSetup(func(n int) ([]float64, error) {
			d := newDigest()
			d.Terms = make(map[string]uint64, n)
			for i := range n {
				d.Terms[databaseName(i)] = 7
			}
			return []float64{float64(proto.Size(d))}, nil
		}),
	}
}

// staticList is an instance list that never changes.
type staticList []objectstore.Instance

// Instances implements objectstore.InstanceList.
func (l staticList) Instances(context.Context) ([]objectstore.Instance, error) {
	return l, nil
}

func largeList(n int) staticList {
	list := make(staticList, n)
	for i, address := range instanceAddresses(0, n) {
		list[i] = objectstore.Instance{
			ID: fmt.Sprintf("proxy-%05d", i), PeerAddress: address,
			Region: "travancore", FailureDomain: "travancore-1",
		}
	}
	return list
}

// peerSet measures the memory of the listed peers and the cost of listing the live ones, which each
// instance does five times per second.
func peerSet() measurement {
	return measurement{
		sizes: []int{1000, 2000, 4000},
		quantities: []quantity{
			{"config.peers.memory", "B", "listed instance", "proxy/peer"},
			{"config.peers.live.cpu", "µs", "listed instance, for one reading", "proxy/peer"},
		},
		setUp: withoutSetup(peerCosts),
	}
}

func peerCosts(n int) ([]float64, error) {
	const readings = 20
	list := largeList(n)
	client := peer.NewClient(peer.ClientConfig{})
	defer client.Close()
	var set *peer.Set
	memory, err := retainedBytes(func() (_ any, err error) {
		set, err = newPeerSet(list, client)
		return set, err
	})
	if err != nil {
		return nil, err
	}
	cpu, err := cpuCost(func() error {
		for range readings {
			set.Live()
		}
		return nil
	})
	return []float64{memory, cpu / readings}, err
}

// newPeerSet returns a set that has read the list and doesn't contact any peer.
func newPeerSet(list staticList, client *peer.Client) (*peer.Set, error) {
	set, err := peer.NewSet(peer.SetConfig{
		Self: callerAddress, List: list, Client: client, Config: &gossipPeer{}, Digest: newDigest,
		Rand: rand.New(rand.NewSource(1)), Log: discardLog(),
	})
	if err != nil {
		return nil, err
	}
	// Run reads the list once before it checks its context.
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	set.Run(ended)
	return set, nil
}

// instanceList measures the size and the decoding of the platform's instance list, which each
// instance reads from the store.
func instanceList() measurement {
	return measurement{
		sizes: []int{500, 1000, 2000},
		quantities: []quantity{
			{"config.list.bytes", "B", "listed instance", "platform/httpstore"},
			{"config.list.cpu", "µs", "listed instance, for one reading", "platform/httpstore"},
		},
		setUp: withoutSetup(func(n int) ([]float64, error) {
			value, err := json.Marshal(largeList(n))
			if err != nil {
				return nil, err
			}
			cpu, err := cpuCost(func() error { _, err := httpstore.DecodeInstances(value); return err })
			return []float64{float64(len(value)), cpu}, err
		}),
	}
}

// storeCall measures getting a small object from the store.
func storeCall() measurement {
	return measurement{
		sizes: []int{500, 1000, 2000},
		quantities: []quantity{
			{"config.store.cpu", "µs", "call, both ends", "platform/httpstore"},
			{"config.store.bytes", "B", "call, both directions", "platform/httpstore"},
		},
		setUp: func(ctx context.Context) (measureAtSize, func(), error) {
			server, err := store.Start("127.0.0.1:0")
			if err != nil {
				return nil, noStop, err
			}
			dialer := &countingDialer{}
			stop := func() { _ = server.Close() }
			client, err := httpstore.New(httpstore.Config{BaseURL: server.URL(), Transport: &http.Transport{DialContext: dialer.DialContext}})
			if err != nil {
				return nil, stop, err
			}
			if _, err := client.Put(ctx, "status/bench", []byte(`{"version":1}`), 0); err != nil {
				return nil, stop, err
			}
			run := func(size int) ([]float64, error) {
				return dialer.costAndBytes(size, func() error { _, err := client.Get(ctx, "status/bench"); return err })
			}
			return run, func() { client.Close(); stop() }, nil
		},
	}
}
