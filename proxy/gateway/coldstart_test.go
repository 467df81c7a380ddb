package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/coldstart"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
)

// coldRate is the rate of the cold servers of these tests, in statements per second. The limit is 17, the allowance of the lender
// half of that.
const coldRate = 8

var coldTolerance = coldstart.Tolerance{Overage: 1.5, Slack: 5}

// limitCold makes a fixture limit cold servers. The routes may name regions.
func (f *fixture) limitCold(homes ...string) {
	f.gateway.cfg.Cold = coldTolerance
	f.directory.update(func(d *testDirectory) {
		c := catalog.Catalog{Version: d.snapshot.Version() + 1, Accounts: d.snapshot.Accounts(), Databases: slices.Clone(d.snapshot.Databases())}
		c.Databases[0].ColdRate = coldRate
		for _, name := range []string{"strict", "stale"} {
			grant, _ := d.snapshot.Authorize(name, manifest.HashKey(testKey))
			grant.Route.Homes = homes
			c.Routes = append(c.Routes, grant.Route)
		}
		d.snapshot = catalog.NewSnapshot(c)
	})
}

// askFor sends a statement every 5 ms for a while and returns how many were served.
func (c *caller) askFor(length time.Duration, text string) (served int) {
	for i, began := 0, time.Now(); time.Since(began) < length; i++ {
		if strings.Contains(c.ask(fmt.Sprintf("w%p-%d", c, i), text), "receipt") {
			served++
		}
		time.Sleep(5 * time.Millisecond)
	}
	return served
}

// registerCold registers both servers, p as the primary, with the remaining times of their cold periods. It does what Maintain
// would do soon after.
func (f *fixture) registerCold(revision uint64, p, r time.Duration) {
	f.gateway.SetServers([]discovery.Server{
		{ID: "p", Database: database, Address: f.group.Address("p"), Region: "here", Slots: f.slots, Primary: true, Revision: revision, WarmupRemaining: p},
		{ID: "r", Database: database, Address: f.group.Address("r"), Region: "here", Slots: f.slots, Revision: revision + 1, WarmupRemaining: r},
	})
	f.gateway.maintainColdServers()
}

func newColdFixture(t *testing.T, change ...func(*Config)) *fixture {
	t.Helper()
	f := newFixture(t, change...)
	f.limitCold()
	return f
}

// arrivalsAt returns how many statements a server got.
func (f *fixture) arrivalsAt(id string) int {
	n := 0
	for _, a := range f.group.Arrivals() {
		if a.Server == id {
			n++
		}
	}
	return n
}

// checkArrivals fails the test if a server got more statements in any second than its limit.
func (f *fixture) checkArrivals(id string, limit int) {
	f.t.Helper()
	if most := f.group.MostArrivals(id, time.Time{}, time.Now(), time.Second); most > limit {
		f.t.Errorf("%s got %d statements in a second, the limit is %d", id, most, limit)
	}
}

// Guards against a cold primary that gets more than its limit, and against an excess that waits instead of being refused with
// the time of the next turn.
func TestColdServerPrimaryRefusesTheExcess(t *testing.T) {
	f := newColdFixture(t)
	f.registerCold(10, time.Minute, 0)
	c := f.open("strict")
	served := 0
	for i, began := 0, time.Now(); time.Since(began) < 3*time.Second; i++ {
		asked := time.Now()
		if answer := c.ask(fmt.Sprintf("w%d", i), "WRITE x v"); answer == "receipt|READY I -" {
			served++
		} else if !strings.HasPrefix(answer, "BUSY") || time.Since(asked) > 500*time.Millisecond {
			t.Fatalf("an excess statement is answered with %q after %s, want BUSY at once", answer, time.Since(asked))
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.checkArrivals("p", 8)
	if served < 8 {
		t.Errorf("%d statements served in 3 s, want at least those of one second", served)
	}
	c.send("QUERY late WRITE x v")
	line := c.readLine()
	if !strings.Contains(line, "retry_after_ms=") {
		t.Errorf("the excess is answered with %q, want the time of the next turn", line)
	}
}

// Guards against reads that are refused, or that wait, at a cold replica although the warm primary can run them, and against a
// replica that is asked again before its next turn.
func TestColdServerReadsGoToWarmServers(t *testing.T) {
	f := newColdFixture(t)
	f.group.SetServiceTime("p", 4, 40*time.Millisecond) // so that the replica is preferred
	f.registerCold(10, 0, time.Minute)
	c := f.open("stale")
	c.want("w1", "WRITE x v", "receipt|READY I -")
	for i, began := 0, time.Now(); time.Since(began) < 2500*time.Millisecond; i++ {
		c.want(fmt.Sprintf("r%d", i), "READ x", "row v|receipt|READY I -")
	}
	f.checkArrivals("r", 8)
	if f.arrivalsAt("r") == 0 {
		t.Error("the cold replica got no read at all")
	}
	if held := f.gateway.withHeldServers(database, nil); len(held) != 1 || held[0] != "r" {
		t.Errorf("held servers %v, want the cold replica", held)
	}
}

// Guards against statements of open transactions that are refused, or that wait behind new ones, at a cold server, and against
// a ROLLBACK that waits.
func TestColdServerTransactionsWaitForTheirTurn(t *testing.T) {
	f := newColdFixture(t)
	f.registerCold(10, time.Minute, 0)
	c, other := f.open("strict"), f.open("strict")
	time.Sleep(coldstart.Window + 100*time.Millisecond)
	c.want("b1", "BEGIN", "done|READY T -")
	for i := range 8 { // the allowance of one second
		c.want(fmt.Sprintf("t%d", i), "WRITE x v", "receipt|READY T -")
	}
	c.send("QUERY t8 WRITE x v")
	time.Sleep(50 * time.Millisecond)
	other.want("new", "WRITE y v", "BUSY|READY I -")
	if line, ready := c.readLine(), c.readLine(); !strings.HasPrefix(line, "COMPLETE receipt") || ready != "READY T -" {
		t.Errorf("the statement that waited is answered with %q and %q, want a receipt", line, ready)
	}
	began := time.Now()
	c.want("e1", "ROLLBACK", "done|READY I -")
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Errorf("ROLLBACK took %s", took)
	}
	f.checkArrivals("p", 8)
}

// Guards against a lender that does not count what it sends for other instances, or that does not know a server to be cold
// because its entries are older.
func TestColdServerLenderCounts(t *testing.T) {
	for _, lenderKnows := range []bool{true, false} {
		t.Run(fmt.Sprintf("lender knows: %t", lenderKnows), func(t *testing.T) {
			p := newLendingPair(t)
			p.borrower.limitCold()
			p.lender.limitCold()
			p.borrower.registerCold(10, time.Minute, 0)
			if lenderKnows {
				p.lender.registerCold(10, time.Minute, 0)
			}
			served := p.borrower.open("strict").askFor(2500*time.Millisecond, "WRITE x v")
			p.lender.checkArrivals("p", 8)
			if served == 0 {
				t.Error("nothing was served through the lender")
			}
		})
	}
}

// Guards against an entry instance that sends statements to a cold server itself when their lender fails.
func TestColdServerGetsNothingWhenItsLenderFails(t *testing.T) {
	p := newLendingPair(t)
	p.borrower.limitCold()
	p.borrower.gateway.cfg.Lender = func(LendRequest, func(string) bool) string { return p.address }
	p.borrower.registerCold(10, time.Minute, 0)
	p.stop()
	c := p.borrower.open("strict")
	for i := range 20 {
		if answer := c.ask(fmt.Sprintf("w%d", i), "WRITE x v"); answer != "BUSY|READY I -" && answer != "INDOUBT|READY I -" {
			t.Fatalf("a write without its lender is answered with %q, want BUSY", answer)
		}
	}
	if n := p.borrower.arrivalsAt("p"); n != 0 {
		t.Errorf("%d statements reached the cold server without its lender, want none", n)
	}
}

// Guards against a lender of a lower rank that sends as much as the first, and against an instance that sends although it does not
// know the list of instances.
func TestColdServerAllowanceFollowsRankAndReach(t *testing.T) {
	reached := 1.0
	others := []string{"first", "second"}
	f := newColdFixture(t, func(c *Config) {
		c.ReachedFraction = func() float64 { return reached }
		c.Lender = func(r LendRequest, suspected func(string) bool) string {
			if !r.Exclusive {
				return ""
			}
			for _, other := range others {
				if !suspected(other) {
					return other
				}
			}
			return ""
		}
	})
	f.registerCold(10, time.Minute, 0)
	s := discovery.Server{ID: "p", Database: database}
	for _, want := range []struct {
		others  []string
		reached float64
		result  float64
	}{{others, 1, 17.0 / 8}, {others[:1], 1, 17.0 / 4}, {nil, 1, 17.0 / 2}, {nil, 0.25, 17.0 / 8}, {nil, 0, 0}} {
		others, reached = want.others, want.reached
		if got := f.gateway.coldAllowance(f.gateway.coldState(s)); got != want.result {
			t.Errorf("allowance %v behind %v with %v reached, want %v", got, want.others, want.reached, want.result)
		}
	}
	if _, err := f.gateway.takeColdTurn(destination{server: s}); err == nil {
		t.Error("an instance that reaches nobody got a turn")
	}
}

// Guards against limits for servers that are not cold, whose database has no rate for them, or whose cold period has ended.
func TestColdServerLimitEnds(t *testing.T) {
	f := newColdFixture(t)
	s := discovery.Server{ID: "p", Database: database}
	f.registerCold(10, time.Minute, 0)
	if !f.gateway.IsCold(s) || f.gateway.IsCold(discovery.Server{ID: "r", Database: database}) {
		t.Error("want only p cold")
	}
	f.registerCold(20, 0, 0)
	if f.gateway.IsCold(s) {
		t.Error("p is cold after its entry has ended the period")
	}
	f.registerCold(30, time.Minute, 0)
	f.directory.update(func(d *testDirectory) { d.snapshot = testCatalog() })
	if f.gateway.IsCold(s) {
		t.Error("p is limited without a rate for cold servers")
	}
	if ctx := f.gateway.withColdNews(context.Background(), s); ctx != context.Background() {
		t.Error("a lender is told of a server that is not limited")
	}
}

// Guards against an instance without the store that sends to a restarted server as if it were warm, and against limits for a
// server whose connection broke while its entry can be read.
func TestColdServerRestartsUnseen(t *testing.T) {
	var withoutStore atomic.Bool
	f := newColdFixture(t, func(c *Config) { c.EntriesCurrent = func() bool { return !withoutStore.Load() } })
	f.registerCold(10, 0, 0)
	c := f.open("strict")
	c.want("w1", "WRITE x v", "receipt|READY I -")
	f.group.DropResponses("p", 1)
	c.want("w2", "WRITE x v", "INDOUBT|READY I -")
	s := discovery.Server{ID: "p", Database: database}
	if f.gateway.IsCold(s) {
		t.Error("p is limited although its entry can be read")
	}
	withoutStore.Store(true)
	f.gateway.maintainColdServers()
	from := time.Now()
	c.askFor(2500*time.Millisecond, "WRITE x v")
	if most := f.group.MostArrivals("p", from, time.Now(), time.Second); most == 0 || most > coldRate {
		t.Errorf("p got at most %d statements in a second while its entry could not be read, want some and at most %d", most, coldRate)
	}
	withoutStore.Store(false)
	time.Sleep(coldstart.Window + 100*time.Millisecond)
	c.want("w3", "WRITE x v", "receipt|READY I -")
	if f.gateway.IsCold(s) {
		t.Error("p is limited after its entry was read")
	}
}

// Guards against reads that are refused at a cold primary although a warm replica has what they need: an instance that never gets
// an answer of the primary doesn't know which position they need.
func TestColdServerReadsLearnThePositionFromRefusals(t *testing.T) {
	p := newLendingPair(t)
	for _, f := range []*fixture{p.borrower, p.lender} {
		f.limitCold()
		f.registerCold(10, time.Minute, 0)
	}
	time.Sleep(coldstart.Window + 100*time.Millisecond)
	s := discovery.Server{ID: "p", Database: database}
	c := p.lender.open("strict")
	for i := 0; p.lender.gateway.checkColdHold(destination{server: s}) == nil; i++ {
		c.ask(fmt.Sprintf("s%d", i), "READ x") // until the allowance is used up
	}
	before := p.lender.arrivalsAt("p")
	reader := p.borrower.open("stale")
	reader.ask("r1", "READ x") // refused, with the position
	reader.want("r2", "READ x", "row -|receipt|READY I -")
	if after := p.lender.arrivalsAt("p"); after != before {
		t.Errorf("the primary got %d statements beyond its allowance", after-before)
	}
}

// Guards against a lender that sends a restarted server as much as its borrower asks for, because the borrower still knows the run
// before.
func TestColdServerLenderCountsForBorrowersOfTheRunBefore(t *testing.T) {
	p := newLendingPair(t)
	p.borrower.limitCold()
	p.lender.limitCold()
	entry := discovery.Server{
		ID: "p", Database: database, Address: p.lender.group.Address("p"), Region: "here", Slots: p.lender.slots, Primary: true, Revision: 10, Started: 1,
	}
	p.borrower.gateway.SetServers([]discovery.Server{entry})
	entry.Revision, entry.Started, entry.WarmupRemaining = 20, 2, time.Minute
	p.lender.gateway.SetServers([]discovery.Server{entry})
	p.lender.gateway.maintainColdServers()
	p.borrower.open("strict").askFor(2500*time.Millisecond, "WRITE x v")
	p.lender.checkArrivals("p", 8)
}
