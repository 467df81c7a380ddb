package main

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	slots    = 3
	maxConns = 23
	tenant   = "prairie"
	key      = "prairie-key"
	program  = "target/cyclamenstile" // as in the deploy file, with the argument edge
)

// zoneOf lists the zones and their regions.
var zoneOf = [][2]string{{"sask-regina", "sask"}, {"sask-saskatoon", "sask"}, {"alta-calgary", "alta"}}

// edge is one instance.
type edge struct {
	name, zone, region               string
	callers, ready, peers, file, log string
	store                            *path

	mu  sync.Mutex
	cmd *exec.Cmd // of the latest start
}

// deployment is the platform, one database and some instances.
type deployment struct {
	out   *journal
	dir   string
	cloud *cloud
	group *group
	edges []*edge
	taken []string // addresses given to instances
}

// options is what the cases set.
type options struct {
	fenced  bool
	sync    int
	promote time.Duration
	// evacuations: the sheet has evacuate_ms, and the first instance the widest link.
	evacuations bool
	memoryMB    int // memory_mb; 0: 284
}

// errCannotRun is returned if the case could not be played.
var errCannotRun = errors.New("the case can't run")

func startDeployment(out *journal, dir string, o options, servers func(g *group) error) (*deployment, error) {
	g := newGroup("hire-ledger", out)
	g.unfenced, g.sync, g.promote = !o.fenced, o.sync, o.promote
	c, err := startCloud(out, g, o.fenced)
	if err != nil {
		return nil, err
	}
	d := &deployment{out: out, dir: dir, cloud: c, group: g}
	if err := servers(g); err != nil {
		return d, err
	}
	for _, s := range g.servers {
		d.announce(s)
	}
	if err := d.configure(o); err != nil {
		return d, err
	}
	for i := range 3 {
		if err := d.startEdge(i, o); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady(20 * time.Second)
}

// announce makes a server register itself, and again at each change of its role.
func (d *deployment) announce(s *server) {
	s.onChanged = func() { d.cloud.register(s) }
	d.cloud.register(s)
}

func (d *deployment) configure(o options) error {
	type dict = map[string]any
	route := func(host, kind string, timeout, target, staleness int) dict {
		return dict{
			"name": "r-" + host, "host": host, "kind": kind, "service": d.group.name, "priority": 1, "timeout_ms": timeout,
			"target_latency_ms": target, "max_staleness_ms": staleness, "public": false,
		}
	}
	return d.cloud.store.Put("config", "main", dict{
		"version": 3,
		"routes": []dict{
			route("bookings", "primary", 800, 600, 0),
			route("stocklist", "bounded_staleness", 2000, 1000, 1500),
			route("manifests", "read_your_writes", 800, 1000, 2500),
		},
		"services": []dict{{"name": d.group.name, "max_conns": maxConns, "sync_replicas": o.sync}},
		"tenants":  []dict{{"name": tenant, "api_keys": []string{key}, "rate_per_s": 2000, "burst": 4000}},
		"limits":   dict{"tx_idle_ms": 3000},
	})
}

// settings is deploy/settings.yaml with the placeholders filled in.
const settings = `instance: "%[1]s"
place:
  region: "%[2]s"
  failureDomain: "%[3]s"
listen:
  callers: "%[4]s"
  ready: "%[5]s"
  peers: "%[6]s"
  metrics: ""
store: "%[7]s"
promotion: "%[8]s"
regions: {"sask-regina":"sask","sask-saskatoon":"sask","alta-calgary":"alta"}
unfencedPromotions: %[9]t
firstStart: true
bounds:
  stopSeconds: 6
  keyWithdrawalMillis: 5000
  evacuationMillis: %[10]s
  trustKeysWhenCutOff: false
quota:
  windowSeconds: 5
  overage: 0.1
  slackStatements: 20
cold:
  overage:
  slackStatements:
capacity:
  processorShare: 0.4
  linkMbps: %[11]d
memoryMiB: %[12]d
logLevel: info
`

// instanceHost is the loopback address of the instances. It differs between runs, so that ports that are free stay free until an
// instance listens on them.
var instanceHost = fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+os.Getpid()/250%250, 1+os.Getpid()/62500%250)

// freeAddress returns an address on which nothing listens. It doesn't return one twice.
func (d *deployment) freeAddress() (string, error) {
	for {
		l, err := net.Listen("tcp", instanceHost+":0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		_ = l.Close()
		if !slices.Contains(d.taken, address) {
			d.taken = append(d.taken, address)
			return address, nil
		}
	}
}

func (d *deployment) startEdge(i int, o options) error {
	e := &edge{name: fmt.Sprintf("edge-%s-1", zoneOf[i][0]), zone: zoneOf[i][0], region: zoneOf[i][1]}
	for _, a := range []*string{&e.callers, &e.ready, &e.peers} {
		address, err := d.freeAddress()
		if err != nil {
			return err
		}
		*a = address
	}
	e.file, e.log = filepath.Join(d.dir, e.name+".yaml"), filepath.Join(d.dir, e.name+".log")
	store, err := startPath(d.cloud.store.Address())
	if err != nil {
		return err
	}
	e.store = store
	evacuationMillis, linkMbps := "", 1000
	if o.evacuations {
		evacuationMillis, linkMbps = "5000", []int{200, 10, 10}[i]
	}
	text := fmt.Sprintf(settings, e.name, e.region, e.zone, e.callers, e.ready, e.peers, store.address(), d.cloud.address, !o.fenced, evacuationMillis, linkMbps, cmp.Or(o.memoryMB, 284))
	if err := os.WriteFile(e.file, []byte(text), 0o600); err != nil {
		return err
	}
	if err := e.start(); err != nil {
		return err
	}
	d.edges = append(d.edges, e)
	return nil
}

// start starts the process of an instance.
func (e *edge) start() error {
	log, err := os.OpenFile(e.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(program, "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(e.file), "CYCLAMENSTILE_SETTINGS=" + e.file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	e.cmd = cmd
	e.mu.Unlock()
	return nil
}

// kill ends the process of an instance.
func (e *edge) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
}

// memoryMiB returns the resident memory of an instance.
func (e *edge) memoryMiB() int {
	e.mu.Lock()
	pid := e.cmd.Process.Pid
	e.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	_, _ = fmt.Sscan(string(data), &size, &resident)
	return resident * os.Getpagesize() >> 20
}

func (d *deployment) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for _, e := range d.edges {
		for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
			resp, err := client.Get("http://" + e.ready + "/cyclamenstile/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				d.copyLogs()
				return fmt.Errorf("%w: %s is not ready", errCannotRun, e.name)
			}
		}
	}
	d.out.add("%d instances are ready", len(d.edges))
	return nil
}

// close ends all instances and stand-ins.
func (d *deployment) close() {
	for _, e := range d.edges {
		e.kill()
	}
	d.group.mu.Lock()
	servers := append([]*server(nil), d.group.servers...)
	d.group.mu.Unlock()
	for _, s := range servers {
		s.crash()
	}
	d.cloud.close()
}

// copyLogs adds what the instances have logged about promotions, and their warnings, to the record.
func (d *deployment) copyLogs() {
	for _, e := range d.edges {
		data, err := os.ReadFile(e.log)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			if strings.Contains(line, "promot") || strings.Contains(line, "primary") || strings.Contains(line, "paused") || !strings.Contains(line, `"level":"info"`) && line != "" {
				d.out.add("log of %s: %s", e.name, line)
			}
		}
	}
}
