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
	// designDatabases and designAccounts are those of docs/CAPACITY.md, S1 and S7.
	designDatabases = 3100
	designAccounts  = 8266
	// accountsPerRoute is the number of client accounts that use one database today.
	accountsPerRoute = 8
	gossipTimeout    = 10 * time.Second
)

// largeManifest returns a valid manifest with three servers and one route per database.
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

// manifestQuantities are what decoding, holding and comparing a manifest takes.
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

// decodeSnapshot decodes and checks a document as an instance does.
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
	// A bytes.Buffer takes every write.
	_, _ = w.Write(doc)
	_ = w.Close()
	return float64(out.Len())
}

// manifestDelta measures the difference by the number of accounts changed, in a manifest of the design
// size. The intercepts of the processor times are those of the whole manifest.
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
	made, err := cpuCost(func() (err error) {
		d, _ := manifest.NewDelta(from, to)
		doc, err = json.Marshal(d)
		return err
	})
	if err != nil {
		return nil, err
	}
	applied, err := cpuCost(func() error { _, err := from.Apply([][]byte{doc}); return err })
	return []float64{float64(len(doc)), made, applied}, err
}

// gossipPeer answers gossip with a digest of today's content.
type gossipPeer struct {
	peerpb.DRPCPeerUnimplementedServer
	answer func() *peerpb.Digest // nil: digest
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

// gossipCall measures gossip over one kept connection, with what a digest holds without evidence of
// contact.
func gossipCall() measurement {
	return gossipMeasurement("config.gossip", &gossipPeer{}, ignoreDigest)
}

func ignoreDigest(*peerpb.Digest) {}

// contactCall measures gossip between two instances of one group in a deployment of the design size.
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

func gossipMeasurement(name string, answering *gossipPeer, take func(*peerpb.Digest)) measurement {
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
			stopPeer, err := servePeer(ctx, listener, answering, nil)
			if err != nil {
				return nil, noStop, err
			}
			traffic := &peer.Traffic{}
			client := peer.NewClient(peer.ClientConfig{Traffic: traffic})
			call := func() error { return gossip(ctx, client, listener.Addr().String(), take) }
			run := func(size int) ([]float64, error) {
				before := traffic.Sent.Load() + traffic.Received.Load()
				processor, err := cpuCost(func() error { return repeat(size, call) })
				return []float64{processor, float64(traffic.Sent.Load() + traffic.Received.Load() - before)}, err
			}
			return run, func() { _ = client.Close(); stopPeer() }, nil
		},
	}
}

func gossip(ctx context.Context, client *peer.Client, address string, take func(*peerpb.Digest)) error {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	d := newDigest()
	d.Contact = &peerpb.Contact{List: 1 << 63}
	d, err := client.Gossip(ctx, address, d)
	if err == nil {
		take(d)
	}
	return err
}

// contactList measures the reading of a changed list.
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
			processor, err := cpuCost(func() error {
				for range readings {
					newContactState(members)
				}
				return nil
			})
			if err != nil {
				return nil, err
			}
			memory, err := retainedBytes(func() (any, error) { return newContactState(members), nil })
			return []float64{processor / readings, memory}, err
		}),
	}
}

// newContactState returns what an instance keeps of a list that it reads for the first time.
func newContactState(members []contact.Member) any {
	t, p := contact.NewTracker(members[0].ID), contact.NewPlan(members[0].ID, rand.New(rand.NewSource(1)))
	t.SetMembers(members)
	p.SetMembers(members)
	return []any{t, p}
}

// listAcrossDomains is a list in the failure domains of the design size.
func listAcrossDomains(n int) staticList {
	const domains = 13
	list := largeList(n)
	for i := range list {
		list[i].FailureDomain = fmt.Sprintf("travancore-%d", i%domains)
	}
	return list
}

// gossipSpread counts the periods until all instances know a change that one of them begins with,
// when each exchanges digests with a few random peers per period. The size is the binary logarithm
// of the number of instances.
func gossipSpread(peers int) measurement {
	return measurement{
		sizes: []int{7, 8, 9, 10, 11},
		quantities: []quantity{{
			fmt.Sprintf("config.spread.%d", peers), "periods",
			fmt.Sprintf("doubling of the instances, %d peers a period", peers), "proxy/peer",
		}},
		setUp: withoutSetup(func(doublings int) ([]float64, error) {
			knows := make([]bool, 1<<doublings)
			knows[0] = true
			periods := 0
			for slices.Contains(knows, false) {
				knows = gossipPeriod(knows, peers)
				periods++
			}
			return []float64{float64(periods)}, nil
		}),
	}
}

// gossipPeriod returns who knows the change after one period.
func gossipPeriod(knows []bool, peers int) []bool {
	next := slices.Clone(knows)
	for i := range knows {
		for range peers {
			j := rand.Intn(len(knows))
			either := knows[i] || knows[j]
			next[i], next[j] = next[i] || either, next[j] || either
		}
	}
	return next
}

// gossipTerms measures what the terms of databases add to a digest.
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

// staticList is a list of instances that does not change.
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

// peerSet measures the state of the listed peers and the reading of the live ones, which each
// instance does five times a second.
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
	processor, err := cpuCost(func() error {
		for range readings {
			set.Live()
		}
		return nil
	})
	return []float64{memory, processor / readings}, err
}

// newPeerSet returns a set that has read the list and contacts nobody.
func newPeerSet(list staticList, client *peer.Client) (*peer.Set, error) {
	set, err := peer.NewSet(peer.SetConfig{
		Self: callerAddress, List: list, Client: client, Config: &gossipPeer{}, Digest: newDigest,
		Rand: rand.New(rand.NewSource(1)), Log: discardLog(),
	})
	if err != nil {
		return nil, err
	}
	// Run reads the list once before it looks at its context.
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	set.Run(ended)
	return set, nil
}

// instanceList measures the platform's list, which each instance reads from the store.
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
			processor, err := cpuCost(func() error { _, err := httpstore.DecodeInstances(value); return err })
			return []float64{float64(len(value)), processor}, err
		}),
	}
}

// storeCall measures the get of a small object.
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
			w := &countingDialer{}
			stop := func() { _ = server.Close() }
			client, err := httpstore.New(httpstore.Config{BaseURL: server.URL(), Transport: &http.Transport{DialContext: w.DialContext}})
			if err != nil {
				return nil, stop, err
			}
			if _, err := client.Put(ctx, "status/bench", []byte(`{"version":1}`), 0); err != nil {
				return nil, stop, err
			}
			run := func(size int) ([]float64, error) {
				return w.costAndBytes(size, func() error { _, err := client.Get(ctx, "status/bench"); return err })
			}
			return run, func() { client.Close(); stop() }, nil
		},
	}
}
