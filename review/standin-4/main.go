// Command standin-4 plays the cases 11 to 15 of the review: it starts instances as separate processes, and plays their platform, one
// group of database servers and the clients. It writes what was sent, answered and run, and judges one rule.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/platform/platformtest"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	serviceName = "db0"
	tenantKey   = "key-a"
	// secondTenant and secondKey are of a tenant whose key is withdrawn.
	secondTenant = "tenant-b"
	secondKey    = "key-b"
	strictRoute  = serviceName + "-strict"  // of kind "primary"
	boundedRoute = serviceName + "-bounded" // of kind "bounded_staleness"
	// revokeTime is revoke_ms.
	revokeTime = 5 * time.Second
	// trafficStart is when traffic starts after the machines.
	trafficStart = 10 * time.Second
	// timeLimit ends a run that doesn't end by itself. The instances end with it.
	timeLimit = 110 * time.Second
)

// scenario is one case. It returns the violations of its rule.
type scenario struct {
	syncReplicas int
	unfenced     bool
	play         func(r *run) error
	judge        func(r *run, operations []operation) []string
}

var scenarios = map[string]scenario{
	"reborn-replica":  {syncReplicas: 1, play: playRebornReplica, judge: judgeLost},
	"new-instance":    {syncReplicas: 1, play: playNewInstance, judge: judgeLost},
	"primary-late":    {syncReplicas: 1, play: playPrimaryLate, judge: judgeLost},
	"empty-successor": {syncReplicas: 1, play: playEmptySuccessor, judge: judgeLost},
	"withdrawn-key":   {play: playWithdrawnKey, judge: judgeWithdrawn},
}

// run is a run of a scenario.
type run struct {
	trouble  bool
	began    time.Time
	platform *platformtest.Platform // its store
	promoter *promoter
	group    *group
	edges    []*edge

	syncReplicas int

	mu         sync.Mutex
	record     []string
	sequence   int
	promotedBy []promotedLog

	// withdrawnAt is when the store confirmed a config without the key of the second tenant, and second what that one's clients did.
	withdrawnAt time.Time
	second      []operation
}

// promotedLog is the log of a server when it was promoted.
type promotedLog struct {
	promotion
	log []commit
}

func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record = append(r.record, fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func main() {
	name := flag.String("scenario", "", "case to play")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	binary := flag.String("binary", "target/cyclamenstile", "program of the instances")
	logs := flag.String("logs", "", "folder for the logs of the instances; empty: a temporary one")
	flag.Parse()
	s, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", *name)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(timeLimit, func() {
		fmt.Fprintln(os.Stderr, "not run: no end after", timeLimit)
		os.Exit(exitNotRun)
	})
	r := &run{trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	violations, err := r.execute(s, *binary, *logs)
	if err != nil {
		r.note("the case could not run: %v", err)
	}
	for _, v := range violations {
		r.note("BROKEN: %s", v)
	}
	if writeErr := r.write(*out); writeErr != nil || err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err, writeErr)
		os.Exit(exitNotRun)
	}
	if len(violations) > 0 {
		fmt.Printf("%s: the rule was broken %d times, first: %s\n", *name, len(violations), violations[0])
		os.Exit(exitBroken)
	}
	fmt.Printf("%s: the rule held\n", *name)
	os.Exit(exitHeld)
}

func (r *run) write(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, line := range r.record {
		if _, err := fmt.Fprintln(f, line); err != nil {
			return err
		}
	}
	return f.Close()
}

func (r *run) execute(s scenario, binary, logs string) (violations []string, err error) {
	dir := logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-"); err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if err := r.startPlatform(s); err != nil {
		return nil, err
	}
	defer r.platform.Close()
	defer func() { _ = r.promoter.server.Close() }()
	defer r.group.stop()
	defer func() {
		for _, e := range r.edges {
			e.kill()
		}
	}()
	if err := r.startEdges(s, binary, dir); err != nil {
		return nil, err
	}
	l := startLoad(r.edges, 4, strictRoute, tenantKey, "w", write)
	readers := startLoad(r.edges, 3, boundedRoute, tenantKey, "r", read)
	if err = r.awaitWrites(l); err == nil {
		err = s.play(r)
	}
	operations := l.end()
	readers.end()
	if err != nil {
		return nil, err
	}
	violations = s.judge(r, operations)
	r.recordAll(operations)
	return violations, nil
}

// startPlatform starts the platform and the servers, and writes the config.
func (r *run) startPlatform(s scenario) (err error) {
	r.group = newGroup(serviceName, s.syncReplicas, !s.unfenced)
	r.group.recordComment = r.note
	r.group.onPromotion = func(p promotion, log []commit) {
		r.note("%s leads term %d with %d records", p.server, p.term, len(log))
		r.mu.Lock()
		defer r.mu.Unlock()
		r.promotedBy = append(r.promotedBy, promotedLog{p, slices.Clone(log)})
	}
	r.promoter = &promoter{fenced: !s.unfenced, carry: r.group.promote, note: r.note}
	if err := r.promoter.start(); err != nil {
		return err
	}
	if r.platform, err = platformtest.Start(func(_, _ string) bool { return false }); err != nil {
		return err
	}
	r.group.writeEntry, r.group.removeEntry = r.writeEntry, r.removeEntry
	for i, zone := range zones {
		if _, err := r.group.add(fmt.Sprintf("i-%d", i), zone, lags[i]); err != nil {
			return err
		}
	}
	r.syncReplicas = s.syncReplicas
	return r.putConfig(0, tenantKey)
}

// putConfig writes a config with the tenants that hold the given keys. later distinguishes later versions.
func (r *run) putConfig(later uint64, keys ...string) error {
	names := map[string]string{tenantKey: "tenant-a", secondKey: secondTenant}
	c := platformtest.Config{Version: 1 + later, Databases: []string{serviceName}, MaxConnections: 60, Copies: r.syncReplicas}
	for _, key := range keys {
		c.Tenants = append(c.Tenants, platformtest.Tenant{Name: names[key], Keys: []string{key}, Rate: 2000, Burst: 2000})
	}
	return r.platform.PutConfig(c)
}

var (
	zones = []string{"north", "south", "west"}
	// lags are how far the replication to the server of each zone is behind; the first one is the primary's.
	lags = []time.Duration{time.Millisecond, time.Millisecond, 60 * time.Millisecond}
)

// writeEntry writes the entry of a server. The group's mutex is held.
func (r *run) writeEntry(s *server) {
	role, state := "replica", "ready"
	if s.leads {
		role = "primary"
	}
	if s.draining {
		state = "draining"
	}
	r.mu.Lock()
	r.sequence++
	n := r.sequence
	r.mu.Unlock()
	r.note("%s reports %s, %s", s.id, role, state)
	spec := map[string]any{
		"service": s.group.name, "address": s.address, "zone": s.zone, "version": "1", "slots": serverSlots, "state": state,
		"cold_left_ms": 0, "sequence": n, "db_role": role, "born": s.born.UnixMilli(),
	}
	data, _ := json.Marshal(spec) // it has only strings and numbers
	if _, err := r.platform.Store.Put("servers", s.id, data, nil); err != nil {
		r.note("entry of %s: %v", s.id, err)
	}
}

func (r *run) removeEntry(s *server) {
	r.note("the platform removes the entry of %s, which is silent", s.id)
	r.platform.Delete("servers", s.id)
}

func (r *run) startEdges(s scenario, binary, dir string) error {
	started := time.Now()
	for i, zone := range zones {
		addresses, err := freeAddresses(3)
		if err != nil {
			return err
		}
		e := &edge{
			name: fmt.Sprintf("edge-%d", i), zone: zone, callers: addresses[0], ready: addresses[1], peers: addresses[2],
			store: r.platform.Address(), promotion: r.promoter.address, unfenced: s.unfenced, binary: binary, dir: dir,
		}
		r.edges = append(r.edges, e)
		if err := e.start(true); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(started.Add(trafficStart)))
	for _, e := range r.edges {
		if !e.isReady() {
			return fmt.Errorf("%s is not ready after %s", e.name, trafficStart)
		}
	}
	return nil
}

// awaitWrites waits until clients of all instances have had writes acknowledged.
func (r *run) awaitWrites(l *load) error {
	const limit, each = 10 * time.Second, 50
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		served := map[string]int{}
		l.mu.Lock()
		for _, o := range l.operations {
			if o.acknowledged() {
				served[o.edge]++
			}
		}
		l.mu.Unlock()
		if !slices.ContainsFunc(r.edges, func(e *edge) bool { return served[e.name] < each }) {
			r.note("all instances serve writes")
			return nil
		}
	}
	return fmt.Errorf("not all instances serve writes after %s", limit)
}

// awaitPrimary waits until a server other than the given one leads.
func (r *run) awaitPrimary(other *server, limit time.Duration) (*server, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if p := r.group.primary(); p != nil && p != other {
			return p, nil
		}
	}
	return nil, fmt.Errorf("%s is not replaced after %s", other.id, limit)
}

// recordAll adds to the record what the clients and the servers have seen, and what the instances have logged of promotions.
func (r *run) recordAll(operations []operation) {
	at := func(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(r.began).Seconds()) }
	for _, o := range append(operations, r.second...) {
		r.record = append(r.record, fmt.Sprintf("%s  client of %s sends %s WRITE; %s  answer: %s", at(o.sent), o.edge, o.id, at(o.ended), o.answer))
	}
	for _, e := range r.group.executed {
		r.record = append(r.record, fmt.Sprintf("%s  %s commits %s in term %d", at(e.at), e.server, e.id, e.term))
	}
	for _, e := range r.edges {
		r.record = append(r.record, e.logLines("promotion", "claim", "primary", "withdraw", "replicas")...)
	}
}
