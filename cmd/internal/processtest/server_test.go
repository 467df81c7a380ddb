package processtest

import (
	"sync"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/standin/link"
)

// gapAfterSilence limits the write gap after connections go silent: 2 s without bytes, a probe and a new
// connection. The stated target is seconds.
const gapAfterSilence = 5 * time.Second

// Guards against statements that wait on silent connections, and against writes that are repeated
// because their answers were lost.
func TestSilentConnections(t *testing.T) {
	d := deploy(t, setup{relayServers: true})
	r := d.startLoad(nil)
	for _, s := range d.servers {
		s.relay.blackholeExisting()
	}
	d.awaitLogGrowth(d.latestPrimary(), 300)
	checkGap(t, r.finish(), gapAfterSilence)
}

// Guards against the failures of TestSilentConnections, and against transactions that keep their locks, if one or
// both directions of a connection are lost and servers don't notice that it ends: a statement that never arrives,
// or an answer that is lost.
func TestSilentPaths(t *testing.T) {
	for name, lost := range map[string][]link.Direction{
		"requests": {link.Requests},
		"answers":  {link.Responses},
		"both":     {link.Requests, link.Responses},
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, setup{linkServers: true})
			r := d.startLoad(nil)
			open := d.beginAll(0)
			for _, s := range d.servers {
				s.link.Silence(lost...)
			}
			silenced := time.Now()
			var committing sync.WaitGroup
			for _, o := range open {
				committing.Go(func() {
					if err := o.tx.Commit(t.Context()); err == nil {
						t.Errorf("transaction on %s committed over a silent connection", o.txKey)
					}
				})
			}
			committing.Wait()
			check := d.mustConnect(1, marshals)
			for _, o := range open {
				if _, err := check.Exec(t.Context(), upsert, o.txKey, "after"); err != nil {
					t.Errorf("write to a key of the ended transaction: %v", err)
				}
			}
			if d := time.Since(silenced); d >= gapAfterSilence {
				t.Errorf("transactions ended and their keys written after %s, want less than %s", d, gapAfterSilence)
			}
			d.awaitLogGrowth(d.latestPrimary(), 300)
			checkGap(t, r.finish(), gapAfterSilence)
		})
	}
}

// Guards against a failed failover if the primary restarts and crashes again before its first crash is handled, and
// against inconsistencies when it rejoins with an old log.
func TestServerKilledTwice(t *testing.T) {
	d := deploy(t, setup{})
	r := d.startLoad(nil)
	d.servers[0].kill()
	d.startServer(0)
	waitFor(t, "answer of the restarted server", func() bool {
		_, ok := d.serverState(0)
		return ok
	})
	d.servers[0].kill()
	next := d.awaitFailover(0)
	d.startServer(0)
	d.awaitRejoin(0, next)
	checkGap(t, r.finish(), gapWorstCase)
}

// Guards against a leaving server that still gets statements, first for a replica and then for the primary.
func TestServerLeaves(t *testing.T) {
	d := deploy(t, setup{relayServers: true})
	const run = "leaving"
	counters := make([]*matchCounter, servers)
	for i, s := range d.servers {
		counters[i] = s.relay.countMatches(run + "-")
	}
	r := d.startLoad(func(c *load.Config) { c.RunName = run })
	for _, i := range []int{2, 0} {
		if counters[i].count() == 0 {
			t.Errorf("server %s got no statement before it was marked as leaving", d.servers[i].id)
		}
		ctl(t, "--store", d.storeURL, "drain", "--server", string(d.servers[i].id))
		waitUntil(t, "time to leave", time.Now().Add(leavingLimit))
		before := counters[i].count()
		d.awaitLogGrowth(d.latestPrimary(), 500)
		if n := counters[i].count() - before; n > 0 {
			t.Errorf("server %s got %d new statements more than %s after it was marked as leaving", d.servers[i].id, n, leavingLimit)
		}
	}
	if state, ok := d.serverState(0); !ok || state.Role == authority.RolePrimary {
		t.Errorf("state of leaving server %+v, answered %v, want a server that is not the primary", state, ok)
	}
	checkGap(t, r.finish(), gapAfterCrash)
}
