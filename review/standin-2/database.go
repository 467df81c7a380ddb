package main

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// commitRecord is one commit in the log of a server.
type commitRecord struct {
	term   uint64
	id     string // of the caller's statement that committed it
	values map[string]string
}

// group is a database: servers with a log each, one of which leads. It follows PROTOCOL.md, "Servers".
type group struct {
	name     string
	out      *journal
	unfenced bool          // a replaced primary goes on until STEPDOWN, or a second after it can reach the new one
	sync     int           // sync_replicas
	promote  time.Duration // from a promote call until it takes effect

	mu      sync.Mutex
	term    uint64
	leader  string // that was promoted last, or the first
	servers []*server
	// promotions are those that took effect.
	promotions []promotion
	commits    []executedCommit
	// arrivals are the single statements and the first ones of transactions, statements all of them.
	arrivals   []arrival
	statements []arrival
}

// promotion is a promote that took effect.
type promotion struct {
	server string
	term   uint64
	at     time.Time
	log    map[string]bool // the commits that the server led with
}

// executedCommit is a commit at a server.
type executedCommit struct {
	id, server string
	at         time.Time
	former     bool // another server had been promoted before
}

// arrival is a read, write or first statement of a transaction that a server got to run.
type arrival struct {
	id, server string
	values     string // the session values, in the order of their names
	prepared   string // what an EXECUTE runs: READ or WRITE and the shape
	at         time.Time
}

// server is one database server.
type server struct {
	g        *group
	id, zone string
	address  string
	born     int64
	delay    time.Duration // one way from and to the other servers

	listener net.Listener
	// The group's mu guards the rest.
	leads     bool
	term      uint64 // newest that it knows
	leadTerm  uint64
	log       []commitRecord
	heldTerm  uint64
	dark      bool
	crashed   bool
	draining  bool
	failing   float64 // the share of the reads, writes and commits that fail
	conns     map[net.Conn]bool
	acked     map[string]int // how much of the log each replica has confirmed to have received
	received  *sync.Cond
	onChanged func() // its role has changed
}

func newGroup(name string, out *journal) *group {
	return &group{name: name, out: out, term: 1}
}

// addServer starts a server. The first one leads.
func (g *group) addServer(id, zone string, delay time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		g: g, id: id, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), delay: delay, listener: listener,
		term: 1, conns: map[net.Conn]bool{}, acked: map[string]int{}, onChanged: func() {},
	}
	s.received = sync.NewCond(&g.mu)
	g.mu.Lock()
	if len(g.servers) == 0 {
		s.leads, s.leadTerm, g.leader = true, 1, id
	}
	g.servers = append(g.servers, s)
	g.mu.Unlock()
	go s.accept()
	return s, nil
}

func (g *group) server(id string) *server {
	i := slices.IndexFunc(g.servers, func(s *server) bool { return s.id == id })
	if i < 0 {
		return nil
	}
	return g.servers[i]
}

// current returns the server that was promoted last.
func (g *group) current() *server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server(g.leader)
}

// order carries out a promote call: after some time the server leads the next term with what it has received.
func (g *group) order(id string) (running bool) {
	g.mu.Lock()
	s := g.server(id)
	running = s != nil && !s.crashed && !s.dark
	present := running && g.leader == id && s.leads
	g.mu.Unlock()
	if running && !present {
		time.AfterFunc(g.promote, func() { g.takeOver(s) })
	}
	return running
}

func (g *group) takeOver(s *server) {
	g.mu.Lock()
	if s.crashed || s.dark || g.leader == s.id && s.leads {
		g.mu.Unlock()
		return
	}
	g.term++
	old := g.server(g.leader)
	g.leader = s.id
	s.leads, s.leadTerm, s.term, s.heldTerm, s.acked = true, g.term, g.term, 0, map[string]int{}
	p := promotion{server: s.id, term: g.term, at: time.Now(), log: map[string]bool{}}
	for _, r := range s.log {
		p.log[r.id] = true
	}
	g.promotions = append(g.promotions, p)
	for _, other := range g.servers {
		if other != s {
			other.heldTerm = 0
		}
	}
	if old != nil && old != s && !g.unfenced {
		old.loseLead()
	}
	g.out.add("%s leads term %d with %d commits", s.id, g.term, len(s.log))
	// The others follow, and the former primary, where it has gone on, follows a second after it can reach the new one.
	for _, other := range g.servers {
		switch {
		case other == s:
		case other.leads:
			time.AfterFunc(time.Second, func() { g.follow(other) })
		default:
			time.AfterFunc(g.distance(s, other), func() { g.follow(other) })
		}
	}
	servers := slices.Clone(g.servers)
	g.mu.Unlock()
	for _, each := range servers {
		each.onChanged()
	}
}

// loseLead makes a server a replica. The caller holds mu.
func (s *server) loseLead() {
	if s.leads {
		s.leads = false
		s.g.out.add("%s does not lead any more", s.id)
		s.received.Broadcast()
	}
}

// follow makes a server take over the log of the leader, as far as it has run.
func (g *group) follow(s *server) {
	g.mu.Lock()
	changed := false
	leader := g.server(g.leader)
	if s != leader && leader != nil && leader.leads && !leader.dark && !leader.crashed && !s.dark && !s.crashed && s.heldTerm <= leader.leadTerm {
		if s.leads {
			s.loseLead()
			changed = true
		}
		s.term = g.term
		s.log = slices.Clone(leader.log)
		n, term := len(s.log), leader.leadTerm
		time.AfterFunc(g.distance(s, leader), func() { leader.confirm(s.id, n, term) })
	}
	g.mu.Unlock()
	if changed {
		s.onChanged()
	}
}

func (g *group) distance(a, b *server) time.Duration {
	return a.delay + b.delay
}

// commit appends a commit at a server that leads and returns false if it can't be acknowledged. The caller holds mu.
func (s *server) commit(id string, values map[string]string) bool {
	g := s.g
	s.log = append(s.log, commitRecord{s.leadTerm, id, values})
	n, term := len(s.log), s.leadTerm
	g.commits = append(g.commits, executedCommit{id, s.id, time.Now(), g.leader != s.id})
	if g.leader != s.id {
		g.out.add("commit of %s at %s, after %s was promoted", id, s.id, g.leader)
		return true // it is in no other log
	}
	for _, other := range g.servers {
		if other != s {
			time.AfterFunc(g.distance(s, other), func() { other.receive(s, n, term) })
		}
	}
	if g.sync == 0 {
		return true
	}
	for s.leads && !s.dark && !s.crashed {
		have := 0
		for _, other := range g.servers {
			if other != s && s.acked[other.id] >= n {
				have++
			}
		}
		if have >= g.sync {
			return true
		}
		s.received.Wait()
	}
	return false
}

// receive makes a replica receive the log of its primary up to a length.
func (s *server) receive(from *server, n int, term uint64) {
	g := s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.leads || s.dark || s.crashed || s.heldTerm > term || g.leader != from.id || from.leadTerm != term || len(s.log) >= n {
		return
	}
	s.log = append(s.log, from.log[len(s.log):n]...)
	s.term = term
	time.AfterFunc(g.distance(s, from), func() { from.confirm(s.id, n, term) })
}

// confirm records at a primary that a replica has received its log up to a length.
func (s *server) confirm(replica string, n int, term uint64) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	if s.leads && s.leadTerm == term {
		s.acked[replica] = max(s.acked[replica], n)
		s.received.Broadcast()
	}
}

// catchUp makes a replica receive what it has missed.
func (g *group) catchUp(s *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	leader := g.server(g.leader)
	if leader == nil || leader == s || !leader.leads || leader.crashed || leader.dark {
		return
	}
	n, term := len(leader.log), leader.leadTerm
	time.AfterFunc(g.distance(leader, s), func() { s.receive(leader, n, term) })
}

// setDark makes a server silent, or ends that: it comes back with its log, and its connections are reset.
func (s *server) setDark(dark bool) {
	g := s.g
	g.mu.Lock()
	s.dark = dark
	if !dark {
		if s.leads && g.leader != s.id {
			s.leads = false // another server was promoted
		}
		for c := range s.conns {
			_ = c.Close()
		}
	}
	s.received.Broadcast()
	servers := slices.Clone(g.servers)
	g.mu.Unlock()
	g.out.add("%s is dark: %t", s.id, dark)
	if !dark {
		g.follow(s)
		for _, other := range servers {
			g.catchUp(other)
		}
	}
}

// setFailing makes a server fail a share of the reads, writes and commits.
func (g *group) setFailing(s *server, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.failing = share
	g.out.add("%s fails %.1f of its requests", s.id, share)
}

// crash ends a server for good.
func (s *server) crash() {
	s.g.mu.Lock()
	s.crashed, s.leads = true, false
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.received.Broadcast()
	s.g.mu.Unlock()
	s.g.out.add("%s has ended", s.id)
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.g.mu.Lock()
		s.conns[conn] = true
		s.g.mu.Unlock()
		go func() {
			(&dbSession{s: s, conn: conn, in: bufio.NewReader(conn), prepared: map[string]string{}, values: map[string]string{}, state: "I"}).run()
			s.g.mu.Lock()
			delete(s.conns, conn)
			s.g.mu.Unlock()
			_ = conn.Close()
		}()
	}
}

// dbSession is one connection to a server.
type dbSession struct {
	s        *server
	conn     net.Conn
	in       *bufio.Reader
	prepared map[string]string
	values   map[string]string
	before   map[string]string // values at the begin of the open transaction, which a rollback restores
	state    string            // I, T or E
	plain    bool              // the open transaction was begun without READ
	pending  map[string]string
	first    bool // no statement of the open transaction has come yet
}

func (c *dbSession) run() {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(line)
	if c.silent() {
		return
	}
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != c.s.g.name || len(f) > 3 && f[3] != c.s.id {
		_, _ = fmt.Fprintf(c.conn, "ERROR MISROUTED %s\r\n", c.s.id)
		return
	}
	if c.write("") != nil {
		return
	}
	for {
		line, err := c.in.ReadString('\n')
		if err != nil || strings.HasPrefix(line, "TERMINATE") {
			return
		}
		rest, isQuery := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "QUERY ")
		if !isQuery {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if c.silent() {
			return
		}
		answer, answered := c.execute(id, text)
		if !answered || c.silent() || c.write(answer) != nil {
			return
		}
	}
}

// silent reports, after the connection was closed, that the server is dark.
func (c *dbSession) silent() bool {
	c.s.g.mu.Lock()
	dark := c.s.dark
	c.s.g.mu.Unlock()
	if dark {
		_, _ = c.in.Discard(1 << 30) // until it is closed
	}
	return dark
}

func (c *dbSession) write(answer string) error {
	c.s.g.mu.Lock()
	ready := fmt.Sprintf("READY %s %s\r\n", c.state, c.s.position())
	c.s.g.mu.Unlock()
	_, err := c.conn.Write([]byte(answer + ready))
	return err
}

// position returns the end of the log. The caller holds mu.
func (s *server) position() string {
	return fmt.Sprintf("%d.%d", s.term, len(s.log))
}

func (c *dbSession) fail(code string) string {
	if c.state == "T" {
		c.state = "E"
	}
	return "ERROR " + code + " " + c.s.id + "\r\n"
}

const complete = "COMPLETE -\r\n"

// lacks reports whether the log of a server lacks a position. The caller holds mu.
func (s *server) lacks(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.Atoi(n)
	return s.term < term || s.term == term && len(s.log) < number || s.term > term && len(s.log) < number
}

// execute runs one request. It is not answered if the server has lost the lead meanwhile.
func (c *dbSession) execute(id, text string) (answer string, answered bool) {
	s, g := c.s, c.s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	word, rest, _ := strings.Cut(text, " ")
	if word == "AFTER" {
		position, statement, _ := strings.Cut(rest, " ")
		if s.lacks(position) {
			return c.fail("LAGGING"), true
		}
		text = statement
		word, rest, _ = strings.Cut(text, " ")
	}
	if c.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return c.fail("MALFORMED"), true
	}
	switch word {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		return complete, true
	case "DEALLOC":
		delete(c.prepared, rest)
		return complete, true
	case "DISCARD":
		clear(c.prepared)
		clear(c.values)
		return complete, true
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		return complete, true
	case "BEGIN":
		c.plain = rest != "READ"
		if c.plain && !s.leads {
			return c.fail("READONLY"), true
		}
		c.state, c.pending, c.first, c.before = "T", map[string]string{}, true, maps.Clone(c.values)
		return complete, true
	case "ROLLBACK":
		c.rollBack()
		return complete, true
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return c.control(word, rest), true
	}
	return c.statement(id, word, rest)
}

// rollBack ends the open transaction. What was set in it is undone, like its writes.
func (c *dbSession) rollBack() {
	if c.before != nil {
		c.values = c.before
	}
	c.state, c.pending, c.before = "I", nil, nil
}

func (c *dbSession) renderedValues() string {
	var out []string
	for name, value := range c.values {
		out = append(out, name+"="+value)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

func (c *dbSession) control(word, argument string) string {
	s := c.s
	term, _ := strconv.ParseUint(argument, 10, 64)
	switch {
	case word == "STEPDOWN" && s.leads && s.leadTerm < term:
		s.loseLead()
		go s.onChanged()
	case word == "PAUSE" && !s.leads && term > s.term:
		s.heldTerm = term
		s.g.out.add("%s is paused below term %d", s.id, term)
	case word == "RESUME" && s.heldTerm != 0:
		s.heldTerm = 0
		s.g.out.add("%s receives again", s.id)
		go s.g.catchUp(s)
	}
	role := "replica"
	if s.leads {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %s %d 0 0 %d\r\n%s", role, s.term, s.position(), s.heldTerm, len(s.conns), complete)
}

// statement runs a read, a write or a commit.
func (c *dbSession) statement(id, word, rest string) (answer string, answered bool) {
	s, g := c.s, c.s.g
	writes, prepared := word == "WRITE", ""
	if word == "EXECUTE" {
		name, value, _ := strings.Cut(rest, " ")
		shape, known := c.prepared[name]
		if !known {
			return c.fail("NOSTMT"), true
		}
		writes, prepared = strings.HasPrefix(shape, "WRITE"), shape
		rest = value
	}
	g.statements = append(g.statements, arrival{id, s.id, c.renderedValues(), prepared, time.Now()})
	if c.state == "I" || c.first {
		g.arrivals = append(g.arrivals, arrival{id, s.id, c.renderedValues(), prepared, time.Now()})
		c.first = false
	}
	if s.failing > 0 && rand.Float64() < s.failing {
		if word == "COMMIT" {
			c.rollBack()
		}
		g.out.add("%s %s %s fails at %s", id, word, rest, s.id)
		return c.fail("FAILED"), true
	}
	nothingWritten := word == "COMMIT" && len(c.pending) == 0
	if !s.leads && !nothingWritten && (writes || c.state == "T" && c.plain) {
		return c.fail("READONLY"), true
	}
	item, value, _ := strings.Cut(rest, " ")
	receipt := "COMPLETE " + s.id + "." + id + "\r\n"
	switch {
	case word == "COMMIT":
		failed, pending := c.state == "E", c.pending
		if failed {
			c.rollBack()
			return "ERROR ABORTED " + s.id + "\r\n", true
		}
		c.state, c.pending, c.before = "I", nil, nil
		if len(pending) > 0 && !s.commit(id, pending) {
			return "", false
		}
		return receipt, true
	case writes && c.state == "T":
		c.pending[item] = value
		return receipt, true
	case writes:
		if !s.commit(id, map[string]string{item: value}) {
			return "", false
		}
		return receipt, true
	}
	return "DATAROW " + c.read(item) + "\r\n" + receipt, true
}

func (c *dbSession) read(item string) string {
	if v, ok := c.pending[item]; ok {
		return v
	}
	for _, r := range slices.Backward(c.s.log) {
		if v, ok := r.values[item]; ok {
			return v
		}
	}
	return "-"
}
