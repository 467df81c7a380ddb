package processtest

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/history"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/objectstore/httpstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
	"github.com/cyclamenstile/cyclamenstile/standin/link"
)

const (
	servers  = 3
	database = "orders"
	route    = "orders"

	marshals = "event-marshals"
	crews    = "depot-crews"
)

// setup selects the components and limits of a deployment.
type setup struct {
	lag, jitter  time.Duration
	relayServers bool          // add relays between instances and servers
	relayPeers   bool          // add relays between servers
	instances    int           // number of instances, 2 if 0
	crews        history.Limit // limit of the account crews, practically unlimited if zero
	tls          bool          // use TLS between callers and instances and between instances
	linkServers  bool          // add links between instances and servers, which can silence open connections
	// record, if set, records all traffic from instances to servers; it requires relayServers.
	record *recording
}

// deployment is a store, the servers of one database group and instances, each in its own process.
type deployment struct {
	t          *testing.T
	dir        string
	setup      setup
	store      *process
	storeURL   string // bypasses storeRelay
	storeRelay *relay // between instances and the store
	client     *httpstore.Client
	servers    []*server
	instances  []*instance
	keys       map[string]string // of the accounts, in clear text
	callerTLS  *tls.Config       // client configuration of callers, nil without TLS
	tlsFlags   []string          // of the instances

	overwrittenAt time.Time // when overwriteManifest was called
}

// server is one database server.
type server struct {
	*process
	id      authority.ServerID
	address string
	args    []string
	relay   *relay         // from the instances; nil if unused
	link    *link.Link     // from the instances; nil if unused
	peers   map[int]*relay // to other servers; empty if unused
	control *dbgroup.Client
}

type instance struct {
	*process
	id                 string
	callers, peer, ops string
}

// deploy starts a deployment and waits until a write succeeds through every instance.
func deploy(t *testing.T, s setup) *deployment {
	t.Helper()
	t.Parallel()
	deployments <- struct{}{}
	t.Cleanup(func() { <-deployments })
	if s.instances == 0 {
		s.instances = 2
	}
	d := &deployment{t: t, dir: t.TempDir(), setup: s, keys: map[string]string{marshals: rand.Text(), crews: rand.Text()}}
	if s.tls {
		d.makeCertificate()
	}
	d.startStore()
	d.startServers()
	d.applyManifest(d.manifest(1))
	d.startInstances()
	for i := range d.instances {
		d.awaitWrite(i)
	}
	return d
}

func (d *deployment) startStore() {
	d.store = startProcess(d.t, d.dir, "store", ctlBinary, "standin", "store", "--listen", "127.0.0.1:0")
	d.storeURL = d.store.firstLine(d.t)
	d.storeRelay = startRelay(d.t, hostPort(d.storeURL))
	var err error
	if d.client, err = httpstore.New(httpstore.Config{BaseURL: d.storeURL}); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(d.client.Close)
}

func (d *deployment) startServers() {
	for i := range servers {
		d.servers = append(d.servers, d.prepareServer(i))
	}
	for i, s := range d.servers {
		for j, other := range d.servers {
			if i != j {
				s.args = append(s.args, "--peer", string(other.id)+"="+d.peerAddress(s, j))
			}
		}
		d.startServer(i)
	}
}

func (d *deployment) prepareServer(i int) *server {
	s := &server{id: authority.ServerID(fmt.Sprintf("s%d", i+1)), address: freeAddress(d.t), peers: make(map[int]*relay)}
	s.args = []string{
		"standin", "server", "--id", string(s.id), "--listen", s.address,
		"--primary=" + strconv.FormatBool(i == 0), "--data-dir", filepath.Join(d.dir, string(s.id)),
		"--replication-lag", d.setup.lag.String(), "--replication-jitter", d.setup.jitter.String(),
		"--seed", strconv.Itoa(i + 1),
	}
	if d.setup.relayServers {
		s.relay = startRelay(d.t, s.address)
		if d.setup.record != nil {
			s.relay.record(d.setup.record)
		}
	}
	if d.setup.linkServers {
		var err error
		if s.link, err = link.Start(s.address); err != nil {
			d.t.Fatal(err)
		}
		d.t.Cleanup(s.link.Close)
	}
	var err error
	s.control, err = dbgroup.NewClient(dbgroup.Config{Server: s.id, Address: s.address, User: "test"})
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(s.control.Close)
	return s
}

func (d *deployment) peerAddress(from *server, to int) string {
	if !d.setup.relayPeers {
		return d.servers[to].address
	}
	from.peers[to] = startRelay(d.t, d.servers[to].address)
	return from.peers[to].address()
}

// startServer starts server i. A server that ran before keeps its journal.
func (d *deployment) startServer(i int) {
	s := d.servers[i]
	s.process = startProcess(d.t, d.dir, string(s.id), ctlBinary, s.args...)
	s.firstLine(d.t)
}

// eachPeerLink calls f for the relays from and to server i.
func (d *deployment) eachPeerLink(i int, f func(*relay)) {
	for from, s := range d.servers {
		for to, link := range s.peers {
			if from == i || to == i {
				f(link)
			}
		}
	}
}

func (d *deployment) manifest(version uint64) manifest.Manifest {
	m := manifest.Manifest{
		APIVersion: manifest.APIVersion,
		Version:    version,
		Databases:  []manifest.Database{{Name: database}},
		Routes:     []manifest.Route{{Name: route, Database: database, Accounts: []string{marshals, crews}}},
	}
	for i, s := range d.servers {
		address := s.address
		if s.relay != nil {
			address = s.relay.address()
		}
		if s.link != nil {
			address = s.link.Address()
		}
		m.Databases[0].Servers = append(m.Databases[0].Servers, manifest.Server{
			ID: string(s.id), Address: address, Region: "local", FailureDomain: fmt.Sprintf("local-%d", i),
			MaxConnections: 100, Slots: 64,
		})
	}
	for _, name := range []string{marshals, crews} {
		limit := history.Limit{Rate: 1e6, Burst: 1e6}
		if name == crews && d.setup.crews.Rate > 0 {
			limit = d.setup.crews
		}
		m.Accounts = append(m.Accounts, manifest.Account{
			Name: name, Weight: 1, Rate: limit.Rate, Burst: limit.Burst,
			Keys: []manifest.Key{{ID: name + "-1", SHA256: manifest.HashKey(d.keys[name]).String()}},
		})
	}
	return m
}

// writeManifest writes m to a file for cyclamenctl.
func (d *deployment) writeManifest(m manifest.Manifest) string {
	d.t.Helper()
	document, err := json.Marshal(m)
	if err != nil {
		d.t.Fatal(err)
	}
	file := filepath.Join(d.dir, fmt.Sprintf("manifest-%d.json", m.Version))
	if err := os.WriteFile(file, document, 0o600); err != nil {
		d.t.Fatal(err)
	}
	return file
}

// applyManifest applies m as the successor of the previous version.
func (d *deployment) applyManifest(m manifest.Manifest) {
	d.t.Helper()
	ctl(d.t, "--store", d.storeURL, "apply", "--if-version", fmt.Sprint(m.Version-1), d.writeManifest(m))
}

func (d *deployment) startInstances() {
	var list []objectstore.Instance
	for i := range d.setup.instances {
		n := &instance{id: fmt.Sprintf("proxy-%d", i+1), callers: freeAddress(d.t), peer: freeAddress(d.t), ops: freeAddress(d.t)}
		d.instances = append(d.instances, n)
		list = append(list, objectstore.Instance{ID: n.id, PeerAddress: n.peer, Region: "local", FailureDomain: "local-0"})
	}
	value, err := json.Marshal(list)
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := d.client.Put(d.t.Context(), httpstore.InstancesKey, value, 0); err != nil {
		d.t.Fatal(err)
	}
	for _, n := range d.instances {
		d.startInstance(n)
	}
	for i := range d.instances {
		waitFor(d.t, "instance ready", func() bool { return d.ready(i) })
	}
}

func (d *deployment) startInstance(n *instance) {
	args := []string{
		"serve",
		"--instance-id", n.id, "--region", "local", "--failure-domain", "local-0",
		"--listen", n.callers, "--peer-listen", n.peer, "--ops-listen", n.ops,
		"--store", "http://" + d.storeRelay.address(), "--list-poll", "1s",
	}
	if d.setup.tls {
		args = append(args, d.tlsFlags...)
	} else {
		args = append(args, "--allow-plain")
	}
	n.process = startProcess(d.t, d.dir, n.id, daemonBinary, args...)
}

// ready reports whether the readiness endpoint of instance i answers with OK.
func (d *deployment) ready(i int) bool {
	resp, err := http.Get("http://" + d.instances[i].ops + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// serverState probes server i; it returns false if the server doesn't answer.
func (d *deployment) serverState(i int) (authority.ServerState, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	state, err := d.servers[i].control.ProbeFresh(ctx)
	return state, err == nil
}

// awaitPrimary waits until a server other than those in except is the primary and returns it.
func (d *deployment) awaitPrimary(except ...int) int {
	d.t.Helper()
	primary := -1
	waitFor(d.t, "new primary", func() bool {
		for i := range d.servers {
			if contains(except, i) {
				continue
			}
			if state, ok := d.serverState(i); ok && state.Role == authority.RolePrimary {
				primary = i
			}
		}
		return primary >= 0
	})
	return primary
}

func contains(list []int, n int) bool {
	for _, element := range list {
		if element == n {
			return true
		}
	}
	return false
}

// awaitLogGrowth waits until the log of server i has grown by n records.
func (d *deployment) awaitLogGrowth(i int, n uint64) {
	d.t.Helper()
	var from uint64
	waitFor(d.t, fmt.Sprintf("%d writes on server %s", n, d.servers[i].id), func() bool {
		state, ok := d.serverState(i)
		if !ok {
			return false
		}
		if from == 0 {
			from = state.LSN
		}
		return state.LSN >= from+n
	})
}

// connect opens a connection to instance i with the default settings of pgx.
func (d *deployment) connect(ctx context.Context, i int, account string) (*pgx.Conn, error) {
	config, err := load.ConnConfig(d.instances[i].callers, route, load.Account{Name: account, Key: d.keys[account]})
	if err != nil {
		return nil, err
	}
	config.TLSConfig = d.callerTLS
	return pgx.ConnectConfig(ctx, config)
}

// mustConnect is like connect but fails the test on an error and closes the connection at the end of the test.
func (d *deployment) mustConnect(i int, account string) *pgx.Conn {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.t.Context(), eventTimeout)
	defer cancel()
	conn, err := d.connect(ctx, i, account)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// tryWrite writes through a new connection to instance i.
func (d *deployment) tryWrite(i int, account string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := d.connect(ctx, i, account)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, upsert, "ready", "1")
	return err
}

// awaitWrite waits until a write succeeds through instance i.
func (d *deployment) awaitWrite(i int) {
	d.t.Helper()
	var err error
	defer func() {
		if err != nil {
			d.t.Logf("last error: %v", err)
		}
	}()
	waitFor(d.t, "write through "+d.instances[i].id, func() bool {
		err = d.tryWrite(i, marshals)
		return err == nil
	})
}

const (
	upsert    = "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value"
	selectKey = "SELECT value FROM kv WHERE key = $1"
)
