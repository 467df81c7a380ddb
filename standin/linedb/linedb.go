// Package linedb is a small stand-in for the databases of the users' platform, over real TCP: a group of servers with
// terms and log positions, of which one leads, and which speaks the platform's line protocol. Tests inject faults and
// read what the servers have run.
package linedb

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one statement that a server has run.
type Run struct {
	Server, Account, ID, Text string
	// Values are the session values at the time, rendered as name=value in order.
	Values string
	// InTx tells that it ran inside a transaction.
	InTx bool
	// Led tells that the server was the primary.
	Led bool
	// At is when it ran.
	At time.Time
	// Effect tells that it was a write or commit which took effect.
	Effect bool
}

// record is an entry of the log.
type record struct {
	term  uint64
	item  string
	value string
}

// Group is a database with its servers.
type Group struct {
	Name string

	mu      sync.Mutex
	term    uint64
	leader  string
	log     []record // of the leader; replicas have a prefix of it
	servers map[string]*Server
	runs    []Run
	// MaxConnections bounds the connections to each server; 0: no bound.
	maxConnections int
	opened         int
}

// Server is one server of a group.
type Server struct {
	ID       string
	group    *Group
	listener net.Listener

	// All under the group's lock.
	lag     int // records that a replica lacks
	conns   map[net.Conn]string
	lose    int // answers of statements that are run and not answered
	refuse  string
	silent  bool
	stopped bool
	work    time.Duration // of each read, write and commit
	slots   chan struct{} // nil: no limit
}

// New starts a group with the given servers, of which the first leads.
func New(name string, ids ...string) (*Group, error) {
	g := &Group{Name: name, term: 1, leader: ids[0], servers: map[string]*Server{}}
	for _, id := range ids {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			g.Close()
			return nil, err
		}
		s := &Server{ID: id, group: g, listener: l, conns: map[net.Conn]string{}}
		g.servers[id] = s
		go s.serve()
	}
	return g, nil
}

// Close stops all servers.
func (g *Group) Close() {
	for _, s := range g.servers {
		s.Stop()
	}
}

// Address returns where a server listens.
func (g *Group) Address(id string) string {
	return g.servers[id].listener.Addr().String()
}

// Runs returns what the servers have run so far.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.runs)
}

// Content returns the last value of every item in the primary's log.
func (g *Group) Content() map[string]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]string{}
	for _, r := range g.log {
		out[r.item] = r.value
	}
	return out
}

// Leader returns the server that leads, empty for none.
func (g *Group) Leader() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// Opened returns the number of sessions opened at all servers so far.
func (g *Group) Opened() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened
}

// Promote makes a server the leader of the next term.
func (g *Group) Promote(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term++
	g.leader = id
	g.servers[id].lag = 0
}

// SetMaxConnections bounds the connections to each server.
func (g *Group) SetMaxConnections(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxConnections = n
}

// SetLag makes a replica lack the last n records.
func (g *Group) SetLag(id string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].lag = n
}

// LoseAnswers makes a server run the next n reads, writes and commits without answering them.
func (g *Group) LoseAnswers(id string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].lose = n
}

// Refuse makes a server answer reads, writes and commits with a word of the protocol; empty ends it.
func (g *Group) Refuse(id, word string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].refuse = word
}

// SetWork makes each read, write and commit of a server occupy one of its slots for a time.
func (g *Group) SetWork(id string, slots int, work time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].slots = make(chan struct{}, slots)
	g.servers[id].work = work
}

// SetSilent makes a server accept connections and never answer.
func (g *Group) SetSilent(id string, silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].silent = silent
}

// Stop closes a server's listener and connections.
func (s *Server) Stop() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.stopped = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Server returns a server of the group.
func (g *Group) Server(id string) *Server {
	return g.servers[id]
}

func (s *Server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			c := &session{server: s, conn: conn, in: bufio.NewReader(conn), values: map[string]string{}, prepared: map[string]string{}}
			c.run()
			s.group.mu.Lock()
			delete(s.conns, conn)
			s.group.mu.Unlock()
			_ = conn.Close()
		}()
	}
}

// session is one connection to a server.
type session struct {
	server   *Server
	conn     net.Conn
	in       *bufio.Reader
	account  string
	values   map[string]string
	prepared map[string]string // name to "MODE shape"
	state    string            // I, T or E
	leads    bool              // the transaction needs the lead
	pending  []record
}

func (c *session) run() {
	line, err := c.line()
	if err != nil || !c.startup(line) {
		return
	}
	for {
		line, err := c.line()
		if err != nil || line == "TERMINATE" {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		c.occupy(text)
		answer := c.query(id, text)
		if answer == "" {
			return // the answer is lost
		}
		if _, err := c.conn.Write([]byte(answer + c.ready())); err != nil {
			return
		}
	}
}

// occupy takes a slot for the time that a read, write or commit works.
func (c *session) occupy(text string) {
	c.server.group.mu.Lock()
	slots, work := c.server.slots, c.server.work
	c.server.group.mu.Unlock()
	word, rest, _ := strings.Cut(text, " ")
	if word == "AFTER" {
		_, rest, _ = strings.Cut(rest, " ")
		word, _, _ = strings.Cut(rest, " ")
	}
	switch word {
	case "READ", "WRITE", "EXECUTE", "COMMIT":
	default:
		return
	}
	if slots == nil {
		return
	}
	slots <- struct{}{}
	time.Sleep(work)
	<-slots
}

func (c *session) line() (string, error) {
	line, err := c.in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

func (c *session) startup(line string) bool {
	f := strings.Fields(line)
	g := c.server.group
	g.mu.Lock()
	silent := c.server.silent
	full := g.maxConnections > 0 && len(c.server.conns) >= g.maxConnections
	wrong := len(f) < 3 || f[0] != "STARTUP" || f[1] != g.Name || len(f) > 3 && f[3] != c.server.ID
	if !full && !wrong {
		c.server.conns[c.conn] = f[2]
		c.account = f[2]
		g.opened++
	}
	g.mu.Unlock()
	switch {
	case silent:
		time.Sleep(time.Minute)
		return false
	case wrong:
		_, _ = c.conn.Write([]byte("ERROR MISROUTED " + c.server.ID + "\r\n"))
		return false
	case full:
		_, _ = c.conn.Write([]byte("ERROR TOOMANY " + c.server.ID + "\r\n"))
		return false
	}
	c.state = "I"
	_, err := c.conn.Write([]byte(c.ready()))
	return err == nil
}

func (c *session) ready() string {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("READY %s %d.%d\r\n", c.state, g.term, c.server.length())
}

// length is the length of the server's log. The caller holds the lock.
func (s *Server) length() int {
	if s.ID == s.group.leader {
		return len(s.group.log)
	}
	return max(len(s.group.log)-s.lag, 0)
}

const done = "COMPLETE -\r\n"

func (c *session) fail(word string) string {
	if c.state == "T" {
		c.state = "E"
	}
	return "ERROR " + word + " " + c.server.ID + "\r\n"
}

func (c *session) query(id, text string) string {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	word, rest, _ := strings.Cut(text, " ")
	if word == "AFTER" {
		var at string
		at, text, _ = strings.Cut(rest, " ")
		_, number, _ := strings.Cut(at, ".")
		if n, _ := strconv.Atoi(number); n > c.server.length() {
			return c.fail("LAGGING")
		}
		word, rest, _ = strings.Cut(text, " ")
	}
	if c.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return c.fail("MALFORMED")
	}
	switch word {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		return done
	case "PREPARE":
		name, what, _ := strings.Cut(rest, " ")
		c.prepared[name] = what
		return done
	case "DEALLOC":
		delete(c.prepared, rest)
		return done
	case "DISCARD":
		clear(c.values)
		clear(c.prepared)
		return done
	case "BEGIN":
		return c.begin(rest)
	case "ROLLBACK":
		c.state, c.pending = "I", nil
		return done
	case "STATUS":
		return c.status()
	case "STEPDOWN":
		if c.server.ID == g.leader {
			g.leader = ""
		}
		return c.status()
	}
	return c.run1(id, text, word, rest)
}

func (c *session) begin(mode string) string {
	leads := mode != "READ"
	if leads && c.server.ID != c.server.group.leader {
		return c.fail("READONLY")
	}
	c.state, c.leads = "T", leads
	return done
}

func (c *session) status() string {
	g := c.server.group
	role := "replica"
	if c.server.ID == g.leader {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %d.%d 0 0 0 %d\r\n%s", role, g.term, g.term, c.server.length(), len(c.server.conns), done)
}

// run1 runs a read, write or commit.
func (c *session) run1(id, text, word, rest string) string {
	g := c.server.group
	if c.server.refuse != "" {
		return c.fail(c.server.refuse)
	}
	run := Run{Server: c.server.ID, Account: c.account, ID: id, Text: text, Values: c.rendered(), InTx: c.state != "I", Led: c.server.ID == g.leader, At: time.Now()}
	writes := word == "WRITE"
	item, value, _ := strings.Cut(rest, " ")
	if word == "EXECUTE" {
		what, ok := c.prepared[item]
		if !ok {
			return c.fail("NOSTMT")
		}
		writes = strings.HasPrefix(what, "WRITE")
		run.Text = what + " " + value
		item, value, _ = strings.Cut(value, " ")
	}
	leads := c.server.ID == g.leader
	if (writes || c.state == "T" && c.leads) && !leads && (word != "COMMIT" || len(c.pending) > 0) {
		return c.fail("READONLY")
	}
	answer := ""
	switch {
	case word == "COMMIT":
		g.log = append(g.log, c.pending...)
		run.Effect = len(c.pending) > 0
		c.state, c.pending = "I", nil
	case writes && c.state == "T":
		c.pending = append(c.pending, record{g.term, item, value})
	case writes:
		g.log = append(g.log, record{g.term, item, value})
		run.Effect = true
	default:
		answer = "DATAROW " + c.read(item) + "\r\n"
	}
	g.runs = append(g.runs, run)
	if c.server.lose > 0 {
		c.server.lose--
		return ""
	}
	return answer + "COMPLETE receipt-" + c.server.ID + "-" + id + "\r\n"
}

// read returns the last value of an item in the server's log, or in the open transaction.
func (c *session) read(item string) string {
	log := append(slices.Clone(c.server.group.log[:c.server.length()]), c.pending...)
	for _, r := range slices.Backward(log) {
		if r.item == item {
			return r.value
		}
	}
	return "-"
}

func (c *session) rendered() string {
	var out []string
	for name, value := range c.values {
		out = append(out, name+"="+value)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
