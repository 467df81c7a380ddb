package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	"github.com/cyclamenstile/cyclamenstile/standin/linedb"
)

// Guards against a COMMIT or statement of an open transaction, a write or a strict read that is sent to a former primary, whether a
// claim or an instance of a build without claims has told of its replacement.
func TestExcludedLeaderGetsNoStatements(t *testing.T) {
	for name, exclude := range map[string]func(*Gateway){
		"claimed": func(g *Gateway) { g.SetClaim(database, leaderlease.Claim{Version: 7, Server: "r"}) },
		"retired": func(g *Gateway) { g.Retire(database, "p") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			committing, writing, single := f.open("strict"), f.open("strict"), f.open("strict")
			for _, c := range []*caller{committing, writing} {
				c.want("1", "BEGIN", "done|READY T -")
				c.want("2", "WRITE x v", "receipt|READY T -")
			}
			exclude(f.gateway)
			committing.want("3", "COMMIT", "ABORTED|READY I -")
			writing.want("4", "WRITE x w", "ABORTED|READY E -")
			single.want("5", "WRITE x w", "READONLY|READY I -") // by r
			single.want("6", "READ x", "BUSY|READY I -")
			if content := f.group.Content(); len(content) != 0 {
				t.Errorf("content %v of the former primary, want none", content)
			}
			f.group.Promote("r")
			single.want("7", "WRITE x z", "receipt|READY I -")
		})
	}
}

// Guards against a hand-over that ends the transactions at the primary before it has stepped down.
func TestTransactionsGoOnDuringAHandOver(t *testing.T) {
	f := newFixture(t)
	c := f.open("strict")
	c.want("1", "BEGIN", "done|READY T -")
	c.want("2", "WRITE x v", "receipt|READY T -")
	f.gateway.SetClaim(database, leaderlease.Claim{Version: 7, Server: "r", HandOver: "p", Former: []string{"p"}})
	c.want("3", "COMMIT", "receipt|READY I -")
	c.want("4", "WRITE x w", "receipt|READY I -")
}

// Guards against an acknowledgement of a write or COMMIT that the former primary executed while its successor was claimed, or
// while the lease expired, and against a strict read that is answered from its log.
func TestAnswerOfAnExcludedLeaderIsNotAcknowledged(t *testing.T) {
	var expired atomic.Bool
	for name, exclude := range map[string]func(*fixture){
		"claimed": func(f *fixture) { f.gateway.SetClaim(database, leaderlease.Claim{Version: 7, Server: "r"}) },
		"expired": func(*fixture) { expired.Store(true) },
	} {
		expired.Store(false)
		f := newFixture(t, func(c *Config) { c.MayUseLeader = func() bool { return !expired.Load() } })
		committing, writing, reading := f.open("strict"), f.open("strict"), f.open("strict")
		committing.want("1", "BEGIN", "done|READY T -")
		committing.want("2", "WRITE x v", "receipt|READY T -")
		f.group.SetServiceTime("p", 4, 300*time.Millisecond)
		committing.send("QUERY c COMMIT")
		writing.send("QUERY w WRITE y w")
		reading.send("QUERY r READ y")
		awaitArrivals(t, f.group, 4)
		exclude(f)
		for _, sent := range []struct {
			by       *caller
			id, want string
		}{{committing, "c", "INDOUBT"}, {writing, "w", "INDOUBT"}, {reading, "r", "BUSY"}} {
			if got := sent.by.answer(sent.id); got != sent.want+"|READY I -" {
				t.Errorf("%s: statement %s is answered with %q, want %s", name, sent.id, got, sent.want)
			}
		}
	}
}

func awaitArrivals(t *testing.T, group *linedb.Group, n int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); len(group.Arrivals()) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d statements have arrived, want %d", len(group.Arrivals()), n)
		}
	}
}

// Guards against a lender that runs a statement for an instance which does not know that the primary is being replaced.
func TestLenderRefusesWorkForAnExcludedLeader(t *testing.T) {
	p := newLendingPair(t)
	open, single := p.borrower.open("strict"), p.borrower.open("strict")
	open.want("1", "BEGIN", "done|READY T -")
	open.want("2", "WRITE x v", "receipt|READY T -")
	p.lender.gateway.SetClaim(database, leaderlease.Claim{Version: 7, Server: "r"})
	open.want("3", "COMMIT", "READONLY|READY I -")
	single.want("4", "WRITE x w", "READONLY|READY I -")
	if content := p.lender.group.Content(); len(content) != 0 {
		t.Errorf("content %v of the former primary, want none", content)
	}
}
