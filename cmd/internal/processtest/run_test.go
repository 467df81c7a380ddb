package processtest

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/history"
	"github.com/cyclamenstile/cyclamenstile/decision/session"
)

// loadSeed makes the random choices of the load reproducible.
const loadSeed = 1

// run is a load in progress and its history.
type run struct {
	d     *deployment
	start time.Time
	stop  context.CancelFunc
	done  chan *load.Result

	finished bool // finish was called

	watching sync.WaitGroup
	mu       sync.Mutex
	events   []history.Event // supersessions
	terms    map[uint64]bool

	limits map[string]history.Limit // of accounts whose admissions are checked
}

// startLoad starts a load on all instances, whose configuration change may modify, and waits until the
// primary has executed some writes.
func (d *deployment) startLoad(change func(*load.Config)) *run {
	d.t.Helper()
	c := load.Config{
		Database:         route,
		Accounts:         []load.Account{{Name: marshals, Key: d.keys[marshals]}},
		Connections:      16,
		ReadShare:        0.5,
		Duration:         2 * eventTimeout,
		Seed:             loadSeed,
		StatementTimeout: 15 * time.Second,
		TermOf:           termOf,
	}
	for _, n := range d.instances {
		c.Addresses = append(c.Addresses, n.callers)
	}
	if change != nil {
		change(&c)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &run{d: d, start: time.Now(), stop: stop, done: make(chan *load.Result, 1), terms: map[uint64]bool{1: true}}
	d.t.Cleanup(r.reportUnfinished)
	go r.generate(ctx, c)
	for i := range d.servers {
		r.watching.Go(func() { r.watchTerms(ctx, i) })
	}
	d.awaitLogGrowth(d.awaitPrimary(), 200)
	return r
}

func (r *run) generate(ctx context.Context, c load.Config) {
	result, err := load.Run(ctx, c)
	if err != nil {
		r.d.t.Error(err)
	}
	r.done <- result
}

func termOf(token string) uint64 {
	p, err := session.ParseToken(database, token)
	if err != nil {
		return 0
	}
	return p.Term
}

// watchTerms records when server i is first observed as the primary of a term. It probes the server
// directly, bypassing relays.
func (r *run) watchTerms(ctx context.Context, i int) {
	for ctx.Err() == nil {
		if state, ok := r.d.serverState(i); ok && state.Role == authority.RolePrimary {
			r.recordSupersession(state.Term)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

func (r *run) recordSupersession(term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.terms[term] {
		return
	}
	r.terms[term] = true
	// The load measures its times from a later start than r.start, so this event is never too early.
	r.events = append(r.events, history.Event{Kind: history.Superseded, At: time.Since(r.start), Term: term})
}

// reportUnfinished stops the load. If the test failed before finish, it logs the results and the state of the servers.
func (r *run) reportUnfinished() {
	t := r.d.t
	r.stop()
	if r.finished || !t.Failed() {
		return
	}
	for i, server := range r.d.servers {
		state, ok := r.d.serverState(i)
		t.Logf("server %s: reachable %v, %+v", server.id, ok, state)
	}
	r.watching.Wait()
	result := r.awaitResult()
	for account, c := range result.Counts {
		t.Logf("%s: %+v, failed %v", account, c, result.Failures[account])
	}
	t.Logf("longest write gap %s, terms %v", result.WriteGap, r.terms)
}

// finish stops the load, reads the final content from the primary and checks the history.
func (r *run) finish() *load.Result {
	t := r.d.t
	t.Helper()
	r.stop()
	r.finished = true
	result := r.awaitResult()
	r.watching.Wait()
	result.History.Events = append(result.History.Events, r.events...)
	result.History.Limits = r.limits
	r.readFinal(result)
	for _, v := range history.Check(result.History) {
		t.Errorf("violation: %s", v)
	}
	c := total(result)
	t.Logf("%s: %d statements, %d succeeded, %d not run, %d unknown, %d failed connections, %d terms, longest write gap %s",
		result.Elapsed.Round(time.Millisecond), c.Sent, c.Succeeded, c.NotRun, c.Unknown, c.ConnectFailures, len(r.terms),
		result.WriteGap.Round(time.Millisecond))
	if c.Succeeded == 0 {
		t.Error("no statement succeeded")
	}
	return result
}

// total returns the sum of the counts of all accounts.
func total(result *load.Result) load.Counts {
	var sum load.Counts
	for _, c := range result.Counts {
		sum.Sent += c.Sent
		sum.Succeeded += c.Succeeded
		sum.NotRun += c.NotRun
		sum.Unknown += c.Unknown
		sum.ConnectFailures += c.ConnectFailures
	}
	return sum
}

func (r *run) awaitResult() *load.Result {
	r.d.t.Helper()
	select {
	case result := <-r.done:
		return result
	case <-time.After(eventTimeout):
		r.d.t.Fatalf("load did not end within %s", eventTimeout)
	}
	return nil
}

// readFinal reads the final content directly from the primary, which has all writes that took effect.
func (r *run) readFinal(result *load.Result) {
	t := r.d.t
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	address := r.d.servers[r.d.latestPrimary()].address
	if err := result.ReadFinalContent(ctx, address, "", load.Account{Name: "test"}); err != nil {
		t.Fatal(err)
	}
}

// latestPrimary waits for a primary and returns that of the highest term.
func (d *deployment) latestPrimary() int {
	d.t.Helper()
	primary := -1
	waitFor(d.t, "primary", func() bool {
		var term uint64
		for i := range d.servers {
			if state, ok := d.serverState(i); ok && state.Role == authority.RolePrimary && state.Term > term {
				primary, term = i, state.Term
			}
		}
		return primary >= 0
	})
	return primary
}

// checkGap fails the test if the write gap is limit or longer.
func checkGap(t *testing.T, result *load.Result, limit time.Duration) {
	t.Helper()
	if result.WriteGap >= limit {
		t.Errorf("write gap %s, want less than %s", result.WriteGap, limit)
	}
}
