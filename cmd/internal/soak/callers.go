package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// answerLimit is longer than an instance takes for any answer that it gives.
	answerLimit = 4 * time.Second
	pause       = 15 * time.Millisecond
)

// session is a caller's connection, in the line protocol.
type session struct {
	conn net.Conn
	in   *bufio.Reader
}

// reply is what a caller was told.
type reply struct {
	word  string // receipt, done, an error word, or "broken"
	value string // of a row
	state string
}

func dial(address, route, key string) *session {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil
	}
	s := &session{conn: conn, in: bufio.NewReader(conn)}
	if !s.send("STARTUP "+route+" "+key) || !strings.HasPrefix(s.line(), "READY") {
		_ = conn.Close()
		return nil
	}
	return s
}

func (s *session) send(line string) bool {
	_ = s.conn.SetDeadline(time.Now().Add(answerLimit))
	_, err := s.conn.Write([]byte(line + "\r\n"))
	return err == nil
}

func (s *session) line() string {
	line, err := s.in.ReadString('\n')
	if err != nil {
		return ""
	}
	return strings.TrimRight(line, "\r\n")
}

// ask sends a query and reads its answer.
func (s *session) ask(id, text string) reply {
	r := reply{word: "broken"}
	if !s.send("QUERY " + id + " " + text) {
		return r
	}
	word := ""
	for {
		f := strings.Fields(s.line())
		if len(f) < 2 {
			return reply{word: "broken"}
		}
		switch f[0] {
		case "DATAROW":
			r.value = f[1]
		case "COMPLETE":
			word = "done"
			switch {
			case strings.HasPrefix(f[1], "receipt-") && strings.HasSuffix(f[1], "-"+id):
				word = "receipt"
			case f[1] != "-":
				word = foreignAnswer
			}
		case "ERROR":
			word = f[1]
		case "READY":
			r.word, r.state = word, f[1]
			return r
		}
	}
}

// foreignAnswer is an answer with the receipt of another request.
const foreignAnswer = "foreign"

// promises are the words that say that nothing is kept.
var promises = map[string]bool{
	"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true, "NOAUTH": true, "MALFORMED": true,
}

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
	active *session
	route  string
	// written is what the present session has written and was acknowledged.
	written int
}

// connect opens a session through a random instance, of which the caller uses the strict or the stale route.
func (c *caller) connect() bool {
	i := c.run.instances[c.random.IntN(len(c.run.instances))]
	c.route = c.database() + suffixes[c.random.IntN(len(suffixes))]
	c.written = 0
	c.active = dial(i.callers, c.route, keys[c.account])
	return c.active != nil
}

var suffixes = []string{"-strict", "-stale"}

// database is where the caller's item lies.
func (c *caller) database() string {
	return c.run.names[len(c.name)%len(c.run.names)]
}

func (c *caller) leave() {
	if c.active != nil {
		_ = c.active.conn.Close()
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
func (c *caller) ask(id, text string) reply {
	r := c.active.ask(id, text)
	if r.word == foreignAnswer {
		c.run.violate("%s: %s was answered with the receipt of another request", c.name, id)
	}
	return r
}

func (c *caller) id() string {
	c.count++
	return fmt.Sprintf("%s-%d", c.name, c.count)
}

// note takes the answer to a write, or to the commit of one.
func (c *caller) note(id string, value int, r reply) {
	switch {
	case r.word == "receipt":
		c.acked, c.written = value, value
		c.run.served()
	case promises[r.word]:
		c.run.refuse(id)
	default:
		c.doubt[value] = true
	}
	if r.word == "broken" || r.word == "NOAUTH" {
		c.leave()
	}
}

func (c *caller) write() {
	id := c.id()
	value := c.count
	c.note(id, value, c.ask(id, fmt.Sprintf("WRITE %s %d", c.item, value)))
}

func (c *caller) transact() {
	if r := c.ask(c.id(), "BEGIN"); r.word != "done" {
		if r.word == "broken" || r.word == "NOAUTH" {
			c.leave()
		}
		return
	}
	id := c.id()
	value := c.count
	if r := c.ask(id, fmt.Sprintf("WRITE %s %d", c.item, value)); r.word != "receipt" {
		c.abort(r)
		return
	}
	if c.random.IntN(4) == 0 {
		c.abort(reply{state: "T"})
		return
	}
	commit := c.id()
	c.note(commit, value, c.ask(commit, "COMMIT"))
}

// abort ends a transaction that is not committed.
func (c *caller) abort(r reply) {
	if r.state == "T" || r.state == "E" {
		r = c.ask(c.id(), "ROLLBACK")
	}
	if r.word != "done" {
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
	if r.word != "receipt" {
		if r.word == "broken" || r.word == "NOAUTH" {
			c.leave()
		}
		return
	}
	c.run.served()
	value, _ := strconv.Atoi(r.value) // "-" is no value, 0
	if !strings.HasSuffix(c.route, "-strict") {
		if value < c.written && !c.doubt[value] {
			c.run.violate("%s: read %s gave %q, but its session has written %d; %s", c.name, id, r.value, c.written, c.run.story(c.item))
		}
		return
	}
	if value == c.acked || c.doubt[value] {
		c.acked = value
		return
	}
	c.run.violate("%s: read %s gave %q, but %d was acknowledged; %s", c.name, id, r.value, c.acked, c.run.story(c.item))
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
