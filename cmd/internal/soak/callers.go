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

// caller reads and writes an item that no other caller uses, and tracks its acknowledged values.
type caller struct {
	run     *run
	name    string
	account string
	item    string
	random  *rand.Rand

	requests  int
	lastAcked int
	uncertain map[int]bool // values of writes with unknown outcome
	session   *lineclient.Session
	route     string
	// sessionAcked is the last value that was acknowledged in the current session.
	sessionAcked int
}

// connect opens a session on a random instance, on the strict or the stale route.
func (c *caller) connect() bool {
	instance := c.run.deployment.Instances[c.random.IntN(len(c.run.deployment.Instances))]
	c.route = c.database() + routeSuffixes[c.random.IntN(len(routeSuffixes))]
	c.sessionAcked = 0
	session, err := lineclient.Dial(instance.CallerAddress, c.route, keys[c.account])
	if err != nil {
		return false // the instance may be down or unresponsive; the next attempt chooses again
	}
	c.session = session
	return true
}

var routeSuffixes = []string{platformlocal.StrictRouteSuffix, platformlocal.SessionRouteSuffix}

// database returns the database of the caller's item.
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

// loop performs operations until ctx is canceled.
func (c *caller) loop(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.session == nil && !c.connect() {
			time.Sleep(10 * operationInterval)
			continue
		}
		c.step()
		if c.random.IntN(40) == 0 {
			c.disconnect() // end a session now and then; most last for many operations
		}
		time.Sleep(operationInterval)
	}
}

// step performs one random operation.
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

// query sends a statement on the open session. A reply with the receipt of another request is a violation.
func (c *caller) query(id, text string) lineclient.Reply {
	c.run.recordSent(id, time.Now())
	r := c.session.Query(id, text)
	if r.Outcome == lineclient.WrongReceipt {
		c.run.addViolation("%s: %s was answered with the receipt of another request", c.name, id)
	}
	return r
}

func (c *caller) nextID() string {
	c.requests++
	return fmt.Sprintf("%s-%d", c.name, c.requests)
}

// recordWrite records the reply to a write or to its commit.
func (c *caller) recordWrite(id string, value int, r lineclient.Reply) {
	switch {
	case r.Outcome == lineclient.Receipt:
		c.lastAcked, c.sessionAcked = value, value
		c.run.recordAcknowledged(id)
		c.run.recordServed()
	case lineclient.NoEffect(r.Outcome):
		c.run.recordRefusal(id)
	default:
		c.uncertain[value] = true
	}
	if r.SessionEnded() {
		c.disconnect()
	}
}

func (c *caller) write() {
	id := c.nextID()
	value := c.requests
	c.recordWrite(id, value, c.query(id, fmt.Sprintf("WRITE %s %d", c.item, value)))
}

func (c *caller) transact() {
	if r := c.query(c.nextID(), "BEGIN"); r.Outcome != lineclient.Done {
		if r.SessionEnded() {
			c.disconnect()
		}
		return
	}
	id := c.nextID()
	value := c.requests
	if r := c.query(id, fmt.Sprintf("WRITE %s %d", c.item, value)); r.Outcome != lineclient.Receipt {
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

// abort rolls back a transaction.
func (c *caller) abort(r lineclient.Reply) {
	if r.TransactionOpen() {
		r = c.query(c.nextID(), "ROLLBACK")
	}
	if r.Outcome != lineclient.Done {
		c.disconnect()
	}
}

// read checks that a read returns every acknowledged write or, on routes that may return older data, those of the same
// session. A write of unknown outcome may take effect at any later time and overwrite newer ones: its bytes may still be
// buffered in a relay after the sender has closed the connection.
func (c *caller) read() {
	id := c.nextID()
	r := c.query(id, "READ "+c.item)
	if r.Outcome != lineclient.Receipt {
		if r.SessionEnded() {
			c.disconnect()
		}
		return
	}
	c.run.recordServed()
	value, _ := strconv.Atoi(r.Value) // "-", for no value, becomes 0
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

// callerRecord records the replies to callers, for the checks at the end, and the violations found.
type callerRecord struct {
	mu sync.Mutex
	// refused and acknowledged hold the writes and commits that were answered so, by id.
	refused, acknowledged map[string]bool

	sent       map[string]time.Time
	violations []string
	answers    int
	// coldStatements is the number of statements that cold servers received.
	coldStatements int
	lastServed     time.Time
}

func (r *callerRecord) recordRefusal(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[id] = true
}

func (r *callerRecord) recordAcknowledged(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acknowledged[id] = true
}

func (r *callerRecord) recordSent(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = at
}

func (r *callerRecord) recordServed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	r.lastServed = time.Now()
}

func (r *callerRecord) answerCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers
}

func (r *callerRecord) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}
