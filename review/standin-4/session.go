package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// workTime is how long a read, write or commit takes at a server.
const workTime = 2 * time.Millisecond

// serverSession is one connection to a server.
type serverSession struct {
	server  *server
	conn    net.Conn
	in      *bufio.Reader
	state   string // I, T or E
	plain   bool   // the transaction is not read-only
	pending int    // writes of the transaction
	receipt int
}

func newServerSession(s *server, conn net.Conn) *serverSession {
	return &serverSession{server: s, conn: conn, in: bufio.NewReader(conn), state: "I"}
}

func readLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

func (s *serverSession) run() {
	line, err := readLine(s.in)
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "STARTUP" {
		return
	}
	if fields[1] != s.server.group.name || len(fields) > 3 && fields[3] != s.server.id {
		_, _ = fmt.Fprintf(s.conn, "ERROR MISROUTED %s\r\n", s.server.id)
		return
	}
	if !s.answer("") {
		return
	}
	for {
		line, err := readLine(s.in)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" || !s.answer(s.execute(id, text)) {
			return
		}
	}
}

// noAnswer makes the connection end without an answer.
const noAnswer = "-"

// answer sends an answer and READY.
func (s *serverSession) answer(a string) bool {
	if a == noAnswer {
		return false
	}
	s.server.group.mu.Lock()
	position, up := s.server.positionLocked(), s.server.up
	s.server.group.mu.Unlock()
	if !up {
		return false
	}
	_, err := fmt.Fprintf(s.conn, "%sREADY %s %s\r\n", a, s.state, position)
	return err == nil
}

func (s *serverSession) fail(code string) string {
	if s.state == "T" {
		s.state = "E"
	}
	return "ERROR " + code + " " + s.server.id + "\r\n"
}

func (s *serverSession) complete(row string) string {
	if row != "" {
		row = "DATAROW " + row + "\r\n"
	}
	s.receipt++
	return row + fmt.Sprintf("COMPLETE %s.%d\r\n", s.server.id, s.receipt)
}

const done = "COMPLETE -\r\n"

func (s *serverSession) execute(id, text string) string {
	word, rest, _ := strings.Cut(text, " ")
	if word == "AFTER" {
		var position string
		position, text, _ = strings.Cut(rest, " ")
		if !s.has(position) {
			return s.fail("LAGGING")
		}
		word, rest, _ = strings.Cut(text, " ")
	}
	if s.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return s.fail("MALFORMED")
	}
	switch word {
	case "SET", "PREPARE", "DEALLOC", "DISCARD":
		return done
	case "ROLLBACK":
		s.state, s.pending = "I", 0
		return done
	case "BEGIN":
		return s.begin(rest != "READ")
	case "STATUS", "STEPDOWN", "PAUSE", "RESUME":
		return s.control(word, rest)
	case "READ", "WRITE", "COMMIT":
		time.Sleep(workTime)
		return s.runStatement(word, id)
	}
	return s.fail("MALFORMED")
}

// has reports whether the log has a position.
func (s *serverSession) has(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.Atoi(n)
	s.server.group.mu.Lock()
	defer s.server.group.mu.Unlock()
	return s.server.term > term || s.server.term == term && len(s.server.log) >= number
}

func (s *serverSession) begin(plain bool) string {
	s.server.group.mu.Lock()
	defer s.server.group.mu.Unlock()
	if plain && !s.server.leads {
		return s.fail("READONLY")
	}
	s.state, s.plain, s.pending = "T", plain, 0
	return done
}

func (s *serverSession) control(word, argument string) string {
	g := s.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	term, _ := strconv.ParseUint(argument, 10, 64)
	switch {
	case word == "STEPDOWN" && s.server.leads && s.server.term < term:
		g.recordComment("%s steps down, as told with term %d", s.server.id, term)
		s.server.stepDownLocked()
	case word == "PAUSE" && !s.server.leads && term > s.server.term:
		s.server.pausedIn = term
	case word == "RESUME":
		s.server.pausedIn = 0
	}
	return "DATAROW " + s.server.statusLocked() + "\r\n" + done
}

// runStatement runs a read, write or commit.
func (s *serverSession) runStatement(word, id string) string {
	g := s.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	writes := word == "WRITE" || word == "COMMIT" && s.pending > 0
	if !s.server.leads && (writes || s.state == "T" && s.plain && word != "COMMIT") {
		return s.fail("READONLY")
	}
	switch {
	case word == "READ":
		return s.complete("value")
	case word == "WRITE" && s.state == "T":
		s.pending++
		return s.complete("")
	case word == "COMMIT" && s.state != "T":
		s.state = "I"
		return s.fail("ABORTED")
	}
	s.state, s.pending = "I", 0
	if writes && !s.server.commitLocked(id) {
		return noAnswer
	}
	return s.complete("")
}
