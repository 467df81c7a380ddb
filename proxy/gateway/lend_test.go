package gateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/standin/linedb"
)

// lendingPair is a borrower and a lender in front of the same servers.
type lendingPair struct {
	borrower, lender *fixture
	address          string // of the lender
	stop             func() // stops the lender's drpc server
}

func newLendingPair(t *testing.T) *lendingPair {
	t.Helper()
	group, err := linedb.New(database, "p", "r")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	p := &lendingPair{lender: newFixtureWithGroup(t, group)}
	p.address, p.stop = serveLender(t, p.lender.gateway)
	calls := peer.NewClient(peer.ClientConfig{})
	t.Cleanup(func() { _ = calls.Close() })
	p.borrower = newFixtureWithGroup(t, group, func(c *Config) {
		c.Conns = calls
		c.Lender = func(_ LendRequest, suspected func(string) bool) string {
			if suspected(p.address) {
				return ""
			}
			return p.address
		}
	})
	return p
}

// Guards against losing values, rows, receipts or positions of statements and transactions that run through a
// lender.
func TestStatementsThroughALender(t *testing.T) {
	p := newLendingPair(t)
	c := p.borrower.open("stale")
	c.want("s1", "SET zone one", "done|READY I -")
	c.want("p1", "PREPARE q WRITE shape", "done|READY I -")
	c.want("w1", "WRITE x v1", "receipt|READY I -")
	c.want("r1", "READ x", "row v1|receipt|READY I -")
	c.want("e1", "EXECUTE q x v2", "receipt|READY I -")
	c.want("b1", "BEGIN", "done|READY T -")
	c.want("w2", "WRITE x v3", "receipt|READY T -")
	c.want("r2", "READ x", "row v3|receipt|READY T -")
	c.want("c1", "COMMIT", "receipt|READY I -")
	c.want("b2", "BEGIN READ", "done|READY T -")
	c.want("r3", "READ x", "row v3|receipt|READY T -")
	c.want("e2", "ROLLBACK", "done|READY I -")
	for _, run := range p.borrower.group.ExecutedStatements() {
		if run.SessionValues != "zone=one" || run.Account != "a" {
			t.Errorf("%s ran for account %s with values %q, want account a with zone=one", run.ID, run.Account, run.SessionValues)
		}
	}
	if n := len(p.borrower.gateway.pool.servers); n != 0 {
		t.Errorf("the borrower holds connections to %d servers, want none", n)
	}
}

// Guards against a transaction that stays open on the server after its caller has disconnected from the
// borrower.
func TestLoanEndsWithTheCaller(t *testing.T) {
	p := newLendingPair(t)
	c := p.borrower.open("strict")
	c.want("b1", "BEGIN", "done|READY T -")
	c.want("w1", "WRITE x lost", "receipt|READY T -")
	_ = c.conn.Close()
	p.lender.group.SetMaxConnections(1) // so that the next statement needs the transaction's connection
	other := p.borrower.open("strict")
	other.want("r1", "READ x", "row -|receipt|READY I -")
}

// Guards against errors for callers when the lender of their connections is stopping.
func TestLenderShutdown(t *testing.T) {
	p := newLendingPair(t)
	c := p.borrower.open("strict")
	c.want("w1", "WRITE x v1", "receipt|READY I -")
	p.lender.gateway.StopLending()
	c.want("w2", "WRITE x v2", "receipt|READY I -")
	c.want("b1", "BEGIN", "done|READY T -")
	c.want("w3", "WRITE x v3", "receipt|READY T -")
	c.want("c1", "COMMIT", "receipt|READY I -")
}

// Guards against a write that is repeated because its lender failed before answering, and against reads that
// fail with the lender.
func TestLenderCrash(t *testing.T) {
	p := newLendingPair(t)
	c := p.borrower.open("strict")
	c.want("w1", "WRITE x v1", "receipt|READY I -")
	p.stop()
	answer := c.ask("w2", "WRITE x v2")
	if answer != "receipt|READY I -" && answer != "INDOUBT|READY I -" {
		t.Errorf("a write with a failed lender is answered with %q, want a receipt or INDOUBT", answer)
	}
	c.want("r1", "READ x", "row "+c.expectedValue(answer)+"|receipt|READY I -")
	effects := 0
	for _, run := range p.borrower.group.ExecutedStatements() {
		if run.ID == "w2" && run.TookEffect {
			effects++
		}
	}
	if effects > 1 || answer == "receipt|READY I -" && effects != 1 {
		t.Errorf("the write took effect %d times and was answered with %q, want once, or not at all without a receipt", effects, answer)
	}
}

// expectedValue returns the value of x after w2: v2 after a receipt, otherwise v1, because the lender had failed
// before w2 was sent.
func (c *caller) expectedValue(answer string) string {
	if answer == "receipt|READY I -" {
		return "v2"
	}
	return "v1"
}

// Guards against using a lender that does not reach the server, and against entry instances that leave a scheduler for a full
// server or a slow statement: under overload they would spread over several.
func TestLenderThatCannotReachServerIsSkipped(t *testing.T) {
	for _, test := range []struct {
		err  error
		want bool
	}{
		{&notSentError{noFreeConnection: true}, false},
		{&notSentError{}, true},
		{&noAnswerError{sent: true, lenderReaches: true}, false},
		{&noAnswerError{sent: true}, true},
	} {
		b := newBorrower(Config{Now: func() time.Duration { return time.Minute }})
		b.recordUnreached("lender", "s", test.err)
		if got := b.suspected("lender", "s"); got != test.want || b.suspected("lender", "other") {
			t.Errorf("after %+v: lender suspected for the server %t, want %t, and for no other", test.err, got, test.want)
		}
	}
}

// Guards against a record for every lender that ever failed, which would grow for as long as the process runs.
func TestSuspectsExpire(t *testing.T) {
	var now time.Duration
	b := newBorrower(Config{Now: func() time.Duration { return now }})
	for i := range 100 {
		b.suspect(suspect{lender: "lender-" + strconv.Itoa(i)})
		now += suspectDuration
	}
	if b.suspects.Len() > 2 {
		t.Errorf("%d suspected lenders are kept, want only those of the last %s", b.suspects.Len(), suspectDuration)
	}
}

// Guards against other orders than before where the lender is chosen by server and account.
func TestLoadSchedulerFieldsAreSentToSchedulersOnly(t *testing.T) {
	w := &workItem{timeLeft: time.Second, targetLeft: time.Second}
	if o := toOrder(&destination{}, w); o.GetToScheduler() || o.GetTargetMs() != 0 {
		t.Errorf("order %v has fields for a scheduler", o)
	}
	o := toOrder(&destination{toScheduler: true}, w)
	if d := destinationOf(o); !d.chosen || fromOrder(o).targetLeft != time.Second {
		t.Errorf("order %v doesn't tell the scheduler its role or the target", o)
	}
}
