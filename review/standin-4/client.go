package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	clientPause   = 20 * time.Millisecond
	clientTimeout = 3 * time.Second
)

// operation is a write as its client sent it, and what the client got.
type operation struct {
	id, edge    string
	sent, ended time.Time
	answer      string // COMPLETE ..., ERROR ..., or "no answer"
}

func (o operation) acknowledged() bool { return strings.HasPrefix(o.answer, "COMPLETE ") }

// load is a number of clients that send statements until it is stopped.
type load struct {
	statement func(id string) string
	stop      chan struct{}
	running   sync.WaitGroup

	mu         sync.Mutex
	operations []operation
	prefix     string // of the ids
	next       int
}

// startLoad starts clients at each instance.
func startLoad(edges []*edge, perEdge int, route, key, prefix string, statement func(id string) string) *load {
	l := &load{statement: statement, stop: make(chan struct{}), prefix: prefix}
	for _, e := range edges {
		for range perEdge {
			l.running.Go(func() { l.client(e, route, key) })
		}
	}
	return l
}

func write(id string) string { return "WRITE item" + id + " data" }

func read(string) string { return "READ item" }

// end stops the clients and returns what they did.
func (l *load) end() []operation {
	close(l.stop)
	l.running.Wait()
	return l.operations
}

func (l *load) client(e *edge, route, key string) {
	var conn net.Conn
	var in *bufio.Reader
	for {
		select {
		case <-l.stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(clientPause):
		}
		if conn == nil {
			if conn, in = openSession(e.callers, route, key); conn == nil {
				continue
			}
		}
		l.mu.Lock()
		l.next++
		o := operation{id: fmt.Sprintf("%s%06d", l.prefix, l.next), edge: e.name, sent: time.Now()}
		l.mu.Unlock()
		ok := false
		o.answer, ok = query(conn, in, o.id, l.statement(o.id))
		o.ended = time.Now()
		l.mu.Lock()
		l.operations = append(l.operations, o)
		l.mu.Unlock()
		if !ok {
			_ = conn.Close()
			conn = nil
		}
	}
}

// openSession opens a session; nil if that fails.
func openSession(address, route, key string) (net.Conn, *bufio.Reader) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, nil
	}
	in := bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	_, err = fmt.Fprintf(conn, "STARTUP %s %s\r\n", route, key)
	if line, readErr := readLine(in); err != nil || readErr != nil || !strings.HasPrefix(line, "READY ") {
		_ = conn.Close()
		return nil, nil
	}
	return conn, in
}

// query sends a request and returns its answer without rows. ok is false if the session can't go on.
func query(conn net.Conn, in *bufio.Reader, id, text string) (answer string, ok bool) {
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := fmt.Fprintf(conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "no answer", false
	}
	answer = "no answer"
	for {
		line, err := readLine(in)
		if err != nil {
			return answer, false
		}
		switch word, _, _ := strings.Cut(line, " "); word {
		case "READY":
			return answer, true
		case "COMPLETE", "ERROR":
			answer = line
		}
	}
}
