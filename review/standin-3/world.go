package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/platform/platformtest"
	"github.com/cyclamenstile/cyclamenstile/standin/linedb"
)

// Figures of the small deployment, as in the site file crowdline-pool.
const (
	heartbeat = 1200 * time.Millisecond
	memoryMB  = 284
)

var zones = []string{"sask-regina", "alta-calgary", "mani-winnipeg"}

// world is the deployment: platform, servers and instances.
type world struct {
	rec      *record
	folder   string
	platform *platformtest.Platform
	groups   map[string]*linedb.Group

	mu       sync.Mutex
	sequence uint64
	entries  []*entry
	edges    []*edge
	ended    chan struct{}
}

// entry is a server's entry in the store.
type entry struct {
	service, id, address, zone string
	born                       int64
}

// edge is one instance of the proxy.
type edge struct {
	name, callers, ready string
	settings             string
	cmd                  *exec.Cmd
	done                 chan struct{}
}

func newWorld(rec *record) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, folder: folder, groups: map[string]*linedb.Group{}, ended: make(chan struct{})}
	if w.platform, err = platformtest.Start(w.promote); err != nil {
		return nil, err
	}
	w.platform.HideEra()
	return w, nil
}

// promote makes a server the primary of its database.
func (w *world) promote(service, id string) bool {
	w.rec.logf("platform: POST /promote of %s takes effect", id)
	w.groups[service].Promote(id)
	w.writeEntries()
	return true
}

// addService starts a database with three servers, the first of which is the primary.
func (w *world) addService(name string) error {
	ids := []string{"i-" + name + "-1", "i-" + name + "-2", "i-" + name + "-3"}
	g, err := linedb.New(name, ids...)
	if err != nil {
		return err
	}
	w.groups[name] = g
	for i, id := range ids {
		w.entries = append(w.entries, &entry{service: name, id: id, address: g.Address(id), zone: zones[i], born: time.Now().UnixMilli()})
	}
	return nil
}

// writeEntries writes the entries of all servers.
func (w *world) writeEntries() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.entries {
		w.sequence++
		spec, err := platform.EncodeServer(discovery.Server{
			Database: e.service, Address: e.address, FailureDomain: e.zone, Slots: 3, Primary: w.groups[e.service].Leads(e.id),
			Sequence: w.sequence, Started: e.born,
		})
		if err == nil {
			_ = w.platform.Put(platform.ServersKind, e.id, spec)
		}
	}
}

func (w *world) beat() {
	for {
		select {
		case <-w.ended:
			return
		case <-time.After(heartbeat):
			w.writeEntries()
		}
	}
}

// tenant is a tenant of a configuration.
type tenant struct {
	name string
	keys []string
}

// putConfig writes a configuration with one primary route for each service and returns when the store has confirmed it.
func (w *world) putConfig(version uint64, timeoutMS int, tenants ...tenant) (time.Time, error) {
	type dict = map[string]any
	var routes, services, list []dict
	for name := range w.groups {
		services = append(services, dict{"name": name, "max_conns": 23, "sync_replicas": 0})
		routes = append(routes, dict{"name": "r-" + name, "host": name + "-main", "kind": "primary", "service": name, "priority": 1,
			"timeout_ms": timeoutMS, "target_latency_ms": 600, "public": false})
	}
	for _, t := range tenants {
		list = append(list, dict{"name": t.name, "api_keys": t.keys, "rate_per_s": 400, "burst": 400})
	}
	err := w.platform.Put("config", "main", dict{
		"version": version, "routes": routes, "services": services, "tenants": list, "limits": dict{"tx_idle_ms": 3000},
	})
	shown, _ := json.Marshal(list)
	w.rec.logf("operator: the store confirms config version %d with tenants %s", version, shown)
	return time.Now(), err
}

// freePort returns a loopback address with a free port.
func freePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startEdges starts instances and waits until they are ready.
func (w *world) startEdges(n int) error {
	w.writeEntries()
	go w.beat()
	for i := range n {
		if err := w.addEdge(i); err != nil {
			return err
		}
	}
	for _, e := range w.edges {
		if err := w.start(e); err != nil {
			return err
		}
	}
	for _, e := range w.edges {
		if err := w.awaitReady(e); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) addEdge(i int) error {
	var addresses [4]string
	for k := range addresses {
		var err error
		if addresses[k], err = freePort(); err != nil {
			return err
		}
	}
	e := &edge{name: fmt.Sprintf("edge-%d", i+1), callers: addresses[0], ready: addresses[1]}
	e.settings = filepath.Join(w.folder, e.name+".yaml")
	zone := zones[i%len(zones)]
	regions := map[string]string{}
	for _, z := range zones {
		regions[z], _, _ = strings.Cut(z, "-")
	}
	regionsJSON, _ := json.Marshal(regions)
	text := fmt.Sprintf(`instance: %q
place: {region: %q, failureDomain: %q}
listen: {callers: %q, ready: %q, peers: %q, metrics: ""}
store: %q
promotion: %q
regions: %s
unfencedPromotions: false
firstStart: true
bounds: {stopSeconds: 6, keyWithdrawalMillis: 5000, evacuationMillis: 0, trustKeysWhenCutOff: false}
quota: {windowSeconds: 5, overage: 0.1, slackStatements: 20}
cold: {overage: 0, slackStatements: 0}
capacity: {processorShare: 0.4, linkMbps: 1000}
memoryMiB: %d
logLevel: info
`, e.name, regions[zone], zone, e.callers, e.ready, addresses[2], w.platform.Address(), w.platform.Address(), regionsJSON, memoryMB)
	w.edges = append(w.edges, e)
	return os.WriteFile(e.settings, []byte(text), 0o600)
}

// start starts the process of an instance with the command of the deploy file.
func (w *world) start(e *edge) error {
	log, err := os.OpenFile(filepath.Join(w.folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.cmd = exec.Command("target/cyclamenstile", "edge")
	e.cmd.Env = append(os.Environ(), "CYCLAMENSTILE_SETTINGS="+e.settings)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(e.cmd, e.done)
	w.rec.logf("%s starts", e.name)
	return nil
}

func (w *world) awaitReady(e *edge) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + e.ready + "/cyclamenstile/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			w.rec.logf("%s is ready", e.name)
			return nil
		}
	}
	return errors.New(e.name + " did not become ready")
}

// logExecuted records what the servers have run.
func (w *world) logExecuted() {
	for name, g := range w.groups {
		for _, s := range g.ExecutedStatements() {
			w.rec.logf("run at %.3f on %s of %s for tenant %s: %s %s", w.rec.at(s.At), s.Server, name, s.Account, s.ID, s.Text)
		}
	}
}

// close ends all processes that the case has started.
func (w *world) close() {
	close(w.ended)
	for _, e := range w.edges {
		if e.cmd == nil || e.cmd.Process == nil {
			continue
		}
		_ = e.cmd.Process.Kill()
		<-e.done
	}
	for _, g := range w.groups {
		g.Close()
	}
	w.platform.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println(w.folder)
	}
}
