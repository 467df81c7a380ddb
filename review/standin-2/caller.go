package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answered is what a caller got for one statement.
type answered struct {
	id, text, outcome string // outcome: ok, an error word, or closed
	sent, at          time.Time
}

// callers are clients with a session each. They follow PROTOCOL.md, "Clients".
type callers struct {
	d       *deployment
	number  atomic.Int64
	running sync.WaitGroup
	stop    context.CancelFunc
	ctx     context.Context

	mu      sync.Mutex
	answers []answered
}

func newCallers(d *deployment) *callers {
	c := &callers{d: d}
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c
}

// start runs sessions that send a statement every gap.
func (c *callers) start(sessions int, route, word string, gap time.Duration) {
	for i := range sessions {
		c.running.Go(func() { c.run(i, route, word, gap) })
	}
}

func (c *callers) finish() []answered {
	c.stop()
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers
}

func (c *callers) run(i int, route, word string, gap time.Duration) {
	var s *clientSession
	defer func() { s.close() }()
	for try := i; c.ctx.Err() == nil; time.Sleep(gap/2 + rand.N(gap)) { // not in step with each other
		if s == nil {
			try++
			if s = dialEdge(c.d.edges[try%len(c.d.edges)].callers, route); s == nil {
				continue
			}
		}
		id := fmt.Sprintf("%016x", 0x1000+c.number.Add(1))
		text := fmt.Sprintf("%s item%d", word, i)
		if word == "WRITE" {
			text += " " + id
		}
		a := answered{id: id, text: text, sent: time.Now()}
		a.outcome = s.query(id, text)
		a.at = time.Now()
		c.mu.Lock()
		c.answers = append(c.answers, a)
		c.mu.Unlock()
		c.d.out.add("%s %s: %s after %d ms", id, text, a.outcome, a.at.Sub(a.sent).Milliseconds())
		if a.outcome == "closed" {
			s.close()
			s = nil
		}
	}
}

// runTransactions runs transactions that read, with 12 statements and pauses, through one instance.
func (c *callers) runTransactions(i int, e *edge) {
	const (
		statements = 12
		pause      = 670 * time.Millisecond
	)
	var s *clientSession
	defer func() { s.close() }()
	for ; c.ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if s == nil {
			if s = dialEdge(e.callers, "stocklist"); s == nil {
				continue
			}
		}
		outcome := "ok"
		for n := 0; n <= statements+1 && outcome == "ok" && c.ctx.Err() == nil; n++ {
			text := fmt.Sprintf("READ item%d", n)
			switch n {
			case 0:
				text = "BEGIN READ"
			case statements + 1:
				text = "COMMIT"
			default:
				time.Sleep(pause)
			}
			id := fmt.Sprintf("%016x", 0x100000*(i+1)+int(c.number.Add(1)))
			outcome = s.query(id, text)
			c.d.out.add("%s %s, session %d through %s: %s", id, text, i, e.name, outcome)
		}
		if outcome != "ok" && outcome != "closed" {
			outcome = s.query(fmt.Sprintf("%016x", 0x100000*(i+1)+int(c.number.Add(1))), "ROLLBACK")
		}
		if outcome == "closed" {
			s.close()
			s = nil
		}
	}
}

// runOperations runs sessions' operations that set a value inside a transaction, and returns what each statement has to run with.
func (c *callers) runOperations(i int, e *edge, want func(id, values string)) {
	var s *clientSession
	defer func() { s.close() }()
	for n := 0; c.ctx.Err() == nil; n++ {
		if s == nil {
			if s = dialEdge(e.callers, "bookings"); s == nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		if !c.runOperation(s, i, n, want) {
			s.close()
			s = nil
		}
	}
}

// runOperation sets a value, changes it in a transaction, and reads after the end of the transaction. It returns false if the session
// has ended.
func (c *callers) runOperation(s *clientSession, i, n int, want func(id, values string)) bool {
	values := ""
	for _, text := range []string{
		fmt.Sprintf("SET mode before%d-%d", i, n), "BEGIN", fmt.Sprintf("WRITE item%d a", i), fmt.Sprintf("SET mode after%d-%d", i, n),
		fmt.Sprintf("WRITE item%d b", i), "COMMIT", fmt.Sprintf("READ item%d", i),
	} {
		id := fmt.Sprintf("%016x", 0x100000*(i+1)+int(c.number.Add(1)))
		word, rest, _ := strings.Cut(text, " ")
		if word != "SET" {
			want(id, values)
		}
		a := answered{id: id, text: text, sent: time.Now()}
		a.outcome = s.query(id, text)
		a.at = time.Now()
		c.mu.Lock()
		c.answers = append(c.answers, a)
		c.mu.Unlock()
		c.d.out.add("%s %s, session %d: %s", id, text, i, a.outcome)
		switch {
		case a.outcome == "closed", word == "SET" && a.outcome != "ok":
			return false
		case word == "SET":
			name, value, _ := strings.Cut(rest, " ")
			values = name + "=" + value
		case a.outcome != "ok" && word != "COMMIT" && word != "READ":
			outcome := s.query(fmt.Sprintf("%016x", 0x100000*(i+1)+int(c.number.Add(1))), "ROLLBACK")
			return outcome == "ok"
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// runPrepared runs a session that prepares a statement and executes it again and again, and tells what each execution has to run.
func (c *callers) runPrepared(i int, e *edge, mode, shape string, want func(id, prepared string)) {
	var s *clientSession
	defer func() { s.close() }()
	for c.ctx.Err() == nil {
		if s == nil {
			if s = dialEdge(e.callers, "bookings"); s == nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			id := fmt.Sprintf("%016x", 0x100000*(i+1)+int(c.number.Add(1)))
			outcome := s.query(id, "PREPARE s1 "+mode+" "+shape)
			c.d.out.add("%s PREPARE s1 %s %s, session %d: %s", id, mode, shape, i, outcome)
			if outcome != "ok" {
				s.close()
				s = nil
				continue
			}
		}
		id := fmt.Sprintf("%016x", 0x100000*(i+1)+int(c.number.Add(1)))
		want(id, mode+" "+shape)
		a := answered{id: id, text: fmt.Sprintf("EXECUTE s1 item%d", i), sent: time.Now()}
		if mode == "WRITE" {
			a.text += " " + id
		}
		a.outcome = s.query(id, a.text)
		a.at = time.Now()
		c.mu.Lock()
		c.answers = append(c.answers, a)
		c.mu.Unlock()
		c.d.out.add("%s %s, session %d: %s", id, a.text, i, a.outcome)
		if a.outcome == "closed" {
			s.close()
			s = nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// clientSession is one connection to an instance.
type clientSession struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialEdge(address, route string) *clientSession {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil
	}
	s := &clientSession{conn, bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", route, key); err != nil {
		s.close()
		return nil
	}
	if line, err := s.in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		s.close()
		return nil
	}
	return s
}

func (s *clientSession) close() {
	if s != nil {
		_ = s.conn.Close()
	}
}

// query sends a statement and returns its outcome.
func (s *clientSession) query(id, text string) string {
	_ = s.conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "closed"
	}
	outcome := "closed"
	for {
		line, err := s.in.ReadString('\n')
		if err != nil {
			return "closed"
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "COMPLETE":
			outcome = "ok"
		case "ERROR":
			outcome, _, _ = strings.Cut(rest, " ")
		case "READY":
			return outcome
		}
	}
}
