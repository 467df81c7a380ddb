package main

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// txServer is a small primary whose SETs belong to the open transaction: a rollback undoes them.
type txServer struct {
	rec     *record
	id      string
	address string
	failing atomic.Bool // the next COMMIT fails and rolls back

	mu  sync.Mutex
	ran map[string]string // the session values with which a statement ran, by its id
}

func startTxServer(rec *record, service, id string) (*txServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &txServer{rec: rec, id: id, address: l.Addr().String(), ran: map[string]string{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, service)
		}
	}()
	return s, nil
}

func (s *txServer) serve(conn net.Conn, service string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	state, number := "I", 5
	values, before := map[string]string{}, map[string]string{}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.Fields(line)
		if f[0] == "TERMINATE" {
			return
		}
		if f[0] == "STARTUP" {
			if f[1] != service || len(f) > 3 && f[3] != s.id {
				_, _ = fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", s.id)
				return
			}
			_, _ = fmt.Fprintf(conn, "READY I 1.%d\r\n", number)
			continue
		}
		id, word := f[1], f[2]
		answer := "COMPLETE -"
		switch word {
		case "SET":
			values = maps.Clone(values)
			values[f[3]] = strings.Join(f[4:], " ")
		case "DISCARD":
			values = map[string]string{}
		case "BEGIN":
			state, before = "T", values
		case "ROLLBACK":
			state, values = "I", before
		case "STATUS":
			answer = fmt.Sprintf("DATAROW primary 1 1.%d 0 0 1 1\r\nCOMPLETE -", number)
		case "READ", "WRITE", "COMMIT":
			shown := render(values)
			s.mu.Lock()
			s.ran[id] = shown
			s.mu.Unlock()
			answer = "COMPLETE receipt-" + id
			if word == "READ" {
				answer = "DATAROW data\r\n" + answer
			}
			if word == "COMMIT" {
				state = "I"
				if s.failing.CompareAndSwap(true, false) {
					values = before
					answer = "ERROR FAILED " + s.id
				} else {
					number++
				}
			}
			s.rec.logf("server runs %s %s with session values {%s} and answers %q", id, strings.Join(f[2:], " "), shown, answer)
		}
		_, _ = fmt.Fprintf(conn, "%s\r\nREADY %s 1.%d\r\n", answer, state, number)
	}
}

func render(values map[string]string) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		out = append(out, name+"="+values[name])
	}
	return strings.Join(out, " ")
}

// playValues lets a COMMIT fail at the server, and checks with which session values the client's next statement runs.
func playValues(w *world, trouble bool) (broken bool, err error) {
	const service, key = "hire-ledger", "k-prairie"
	if err := w.addService(service); err != nil {
		return false, err
	}
	s, err := startTxServer(w.rec, service, w.entries[0].id)
	if err != nil {
		return false, err
	}
	w.entries[0].address = s.address
	w.entries = w.entries[:1]
	if _, err := w.putConfig(3, 2000, tenant{"prairie", []string{key}}); err != nil {
		return false, err
	}
	if err := w.startEdges(1); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	c, err := connect(w.rec, "client", w.edges[0].callers, service+"-main", key)
	if err != nil {
		return false, err
	}
	defer c.close()
	s.failing.Store(trouble)
	for i, text := range []string{"BEGIN", "WRITE item1 a", "SET zone north", "WRITE item2 b", "COMMIT", "READ item1"} {
		r, err := c.query(fmt.Sprintf("v-%d", i), text)
		if err != nil || !r.ok() && text != "COMMIT" {
			return false, fmt.Errorf("%s: %v %v", text, r, err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if got := s.ran["v-5"]; got != "zone=north" {
		w.rec.logf("BROKEN: the READ ran with session values {%s}; the client was acknowledged {zone=north}", got)
		return true, nil
	}
	return false, nil
}
