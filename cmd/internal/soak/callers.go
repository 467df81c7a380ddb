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

const operationInterval = 15 * time.Millisecond

// caller works on an item of its own, of which it knows every acknowledged value.
type caller struct {
	run     *run
	name    string
	account string
	item    string
	random  *rand.Rand

	requests  int
	lastAcked int
	uncertain map[int]bool // values that may have been written
	session   *lineclient.Session
	route     string
	// sessionAcked is what the present session has written and was acknowledged.
	sessionAcked int
}

// connect opens a session through a random instance, of which the caller uses the strict or the stale route.
func (c *caller) connect() bool {
	i := c.run.deployment.Instances[c.random.IntN(len(c.run.deployment.Instances))]
	c.route = c.database() + routeSuffixes[c.random.IntN(len(routeSuffixes))]
	c.sessionAcked = 0
	session, err := lineclient.Dial(i.CallerAddress, c.route, keys[c.account])
	if err != nil {
		return false // the instance may be down or silent; the next attempt takes another one
	}
	c.session = session
	return true
}

var routeSuffixes = []string{platformlocal.StrictRouteSuffix, platformlocal.SessionRouteSuffix}

// database is where the caller's item lies.
func (c *caller) database() string {
	names := c.run.deployment.DatabaseNames()
	return names[len(c.name)%len(names)]
}

func (c *caller) disconnect() {
	if c.session != nil {
		c.session.Close()
	}
	c.session = nil
}

// loop works until ctx ends.
func (c *caller) loop(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.session == nil && !c.connect() {
			time.Sleep(10 * operationInterval)
			continue
		}
		c.step()
		if c.random.IntN(40) == 0 {
			c.disconnect() // most sessions are long
		}
		time.Sleep(operationInterval)
	}
}

// step does one operation.
func (c *caller) step() {
	switch n := c.random.IntN(10); {
	case c.account == greedyAccount:
		c.read()
	case n < 4:
		c.write()
	case n < 6:
		c.transact()
	default:
		c.read()
	}
}

// query sends a query on the open session. An answer with the receipt of another request is a broken promise.
func (c *caller) query(id, text string) lineclient.Reply {
	r := c.session.Ask(id, text)
	if r.Word == lineclient.Foreign {
		c.run.addViolation("%s: %s was answered with the receipt of another request", c.name, id)
	}
	return r
}

func (c *caller) nextID() string {
	c.requests++
	return fmt.Sprintf("%s-%d", c.name, c.requests)
}

// recordWrite takes the answer to a write, or to the commit of one.
func (c *caller) recordWrite(id string, value int, r lineclient.Reply) {
	switch {
	case r.Word == lineclient.Receipt:
		c.lastAcked, c.sessionAcked = value, value
		c.run.recordServed()
	case lineclient.Promise(r.Word):
		c.run.recordRefusal(id)
	default:
		c.uncertain[value] = true
	}
	if r.SessionOver() {
		c.disconnect()
	}
}

func (c *caller) write() {
	id := c.nextID()
	value := c.requests
	c.recordWrite(id, value, c.query(id, fmt.Sprintf("WRITE %s %d", c.item, value)))
}

func (c *caller) transact() {
	if r := c.query(c.nextID(), "BEGIN"); r.Word != lineclient.Done {
		if r.SessionOver() {
			c.disconnect()
		}
		return
	}
	id := c.nextID()
	value := c.requests
	if r := c.query(id, fmt.Sprintf("WRITE %s %d", c.item, value)); r.Word != lineclient.Receipt {
		c.abort(r)
		return
	}
	if c.random.IntN(4) == 0 {
		c.abort(lineclient.Reply{State: lineclient.InTransaction})
		return
	}
	commit := c.nextID()
	c.recordWrite(commit, value, c.query(commit, "COMMIT"))
}

// abort ends a transaction that is not committed.
func (c *caller) abort(r lineclient.Reply) {
	if r.TransactionOpen() {
		r = c.query(c.nextID(), "ROLLBACK")
	}
	if r.Word != lineclient.Done {
		c.disconnect()
	}
}

// read checks that every acknowledged write is seen, and on routes that accept older data those of the own session. A
// write in doubt may take effect at any later time, over newer ones: its bytes can lie in a relay whose sender has
// closed the connection already.
func (c *caller) read() {
	sent := time.Now()
	id := c.nextID()
	r := c.query(id, "READ "+c.item)
	if c.account == greedyAccount {
		c.run.recordSent(id, sent)
	}
	if r.Word != lineclient.Receipt {
		if r.SessionOver() {
			c.disconnect()
		}
		return
	}
	c.run.recordServed()
	value, _ := strconv.Atoi(r.Value) // "-" is no value, 0
	if !strings.HasSuffix(c.route, platformlocal.StrictRouteSuffix) {
		if value < c.sessionAcked && !c.uncertain[value] {
			c.run.addViolation("%s: read %s gave %q, but its session has written %d; %s", c.name, id, r.Value, c.sessionAcked, c.run.describeStatements(c.item))
		}
		return
	}
	if value == c.lastAcked || c.uncertain[value] {
		c.lastAcked = value
		return
	}
	c.run.addViolation("%s: read %s gave %q, but %d was acknowledged; %s", c.name, id, r.Value, c.lastAcked, c.run.describeStatements(c.item))
}

// callerRecord is what callers were told, for the check at the end.
type callerRecord struct {
	mu         sync.Mutex
	refused    map[string]bool
	sent       map[string]time.Time
	violations []string
	answers    int
	lastServed time.Time
}

func (l *callerRecord) recordRefusal(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[id] = true
}

func (l *callerRecord) recordSent(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = at
}

func (l *callerRecord) recordServed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers++
	l.lastServed = time.Now()
}

func (l *callerRecord) answerCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answers
}

func (l *callerRecord) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}
