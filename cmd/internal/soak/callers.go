package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/lineclient"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/platformlocal"
)

const pause = 15 * time.Millisecond

// caller works on an item of its own, of which it knows every acknowledged value.
type caller struct {
	run     *run
	name    string
	account string
	item    string
	random  *rand.Rand

	count  int
	acked  int
	doubt  map[int]bool // values that may have been written
	active *lineclient.Session
	route  string
	// written is what the present session has written and was acknowledged.
	written int
}

// connect opens a session through a random instance, of which the caller uses the strict or the stale route.
func (c *caller) connect() bool {
	i := c.run.deployed.Instances[c.random.IntN(len(c.run.deployed.Instances))]
	c.route = c.database() + suffixes[c.random.IntN(len(suffixes))]
	c.written = 0
	session, err := lineclient.Dial(i.Callers, c.route, keys[c.account])
	if err != nil {
		return false // the instance may be down or silent; the next attempt takes another one
	}
	c.active = session
	return true
}

var suffixes = []string{platformlocal.StrictRoute, platformlocal.SessionRoute}

// database is where the caller's item lies.
func (c *caller) database() string {
	names := c.run.deployed.Names()
	return names[len(c.name)%len(names)]
}

func (c *caller) leave() {
	if c.active != nil {
		c.active.Close()
	}
	c.active = nil
}

// loop works until ctx ends.
func (c *caller) loop(ctx context.Context) {
	defer c.leave()
	for ctx.Err() == nil {
		if c.active == nil && !c.connect() {
			time.Sleep(10 * pause)
			continue
		}
		c.step()
		if c.random.IntN(40) == 0 {
			c.leave() // most sessions are long
		}
		time.Sleep(pause)
	}
}

// step does one operation.
func (c *caller) step() {
	switch n := c.random.IntN(10); {
	case c.account == greedy:
		c.read()
	case n < 4:
		c.write()
	case n < 6:
		c.transact()
	default:
		c.read()
	}
}

// ask sends a query on the open session. An answer with the receipt of another request is a broken promise.
func (c *caller) ask(id, text string) lineclient.Reply {
	r := c.active.Ask(id, text)
	if r.Word == lineclient.Foreign {
		c.run.violate("%s: %s was answered with the receipt of another request", c.name, id)
	}
	return r
}

func (c *caller) id() string {
	c.count++
	return fmt.Sprintf("%s-%d", c.name, c.count)
}

// note takes the answer to a write, or to the commit of one.
func (c *caller) note(id string, value int, r lineclient.Reply) {
	switch {
	case r.Word == lineclient.Receipt:
		c.acked, c.written = value, value
		c.run.served()
	case lineclient.Promise(r.Word):
		c.run.refuse(id)
	default:
		c.doubt[value] = true
	}
	if r.SessionOver() {
		c.leave()
	}
}

func (c *caller) write() {
	id := c.id()
	value := c.count
	c.note(id, value, c.ask(id, fmt.Sprintf("WRITE %s %d", c.item, value)))
}

func (c *caller) transact() {
	if r := c.ask(c.id(), "BEGIN"); r.Word != lineclient.Done {
		if r.SessionOver() {
			c.leave()
		}
		return
	}
	id := c.id()
	value := c.count
	if r := c.ask(id, fmt.Sprintf("WRITE %s %d", c.item, value)); r.Word != lineclient.Receipt {
		c.abort(r)
		return
	}
	if c.random.IntN(4) == 0 {
		c.abort(lineclient.Reply{State: lineclient.InTransaction})
		return
	}
	commit := c.id()
	c.note(commit, value, c.ask(commit, "COMMIT"))
}

// abort ends a transaction that is not committed.
func (c *caller) abort(r lineclient.Reply) {
	if r.TransactionOpen() {
		r = c.ask(c.id(), "ROLLBACK")
	}
	if r.Word != lineclient.Done {
		c.leave()
	}
}

// read checks that every acknowledged write is seen, and on routes that accept older data those of the own session. A
// write in doubt may take effect at any later time, over newer ones: its bytes can lie in a relay whose sender has
// closed the connection already.
func (c *caller) read() {
	sent := time.Now()
	id := c.id()
	r := c.ask(id, "READ "+c.item)
	if c.account == greedy {
		c.run.noteSent(id, sent)
	}
	if r.Word != lineclient.Receipt {
		if r.SessionOver() {
			c.leave()
		}
		return
	}
	c.run.served()
	value, _ := strconv.Atoi(r.Value) // "-" is no value, 0
	if !strings.HasSuffix(c.route, platformlocal.StrictRoute) {
		if value < c.written && !c.doubt[value] {
			c.run.violate("%s: read %s gave %q, but its session has written %d; %s", c.name, id, r.Value, c.written, c.run.story(c.item))
		}
		return
	}
	if value == c.acked || c.doubt[value] {
		c.acked = value
		return
	}
	c.run.violate("%s: read %s gave %q, but %d was acknowledged; %s", c.name, id, r.Value, c.acked, c.run.story(c.item))
}

// ledger is what callers were told, for the check at the end.
type ledger struct {
	mu         sync.Mutex
	refused    map[string]bool
	sent       map[string]time.Time
	violations []string
	answers    int
	lastServed time.Time
}

func (l *ledger) refuse(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[id] = true
}

func (l *ledger) noteSent(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = at
}

func (l *ledger) served() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers++
	l.lastServed = time.Now()
}

func (l *ledger) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answers
}

func (l *ledger) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}
