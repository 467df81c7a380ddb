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

// ExecutedStatement is one statement that a server has run.
type ExecutedStatement struct {
	Server, Account, ID, Text string
	// SessionValues are the session values at the time, rendered as name=value in order.
	SessionValues string
	// InTransaction tells that it ran inside a transaction.
	InTransaction bool
	// OnPrimary tells that the server was the primary.
	OnPrimary bool
	// At is when it ran.
	At time.Time
	// TookEffect tells that it was a write or commit which took effect.
	TookEffect bool
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

	mu       sync.Mutex
	term     uint64
	primary  string
	log      []record // of the leader; replicas have a prefix of it
	servers  map[string]*Server
	executed []ExecutedStatement
	// MaxConnections bounds the connections to each server; 0: no bound.
	maxConnections int
	sessionsOpened int
}

// Server is one server of a group.
type Server struct {
	ID       string
	group    *Group
	listener net.Listener

	// All under the group's lock.
	lag             int // records that a replica lacks
	conns           map[net.Conn]string
	responsesToDrop int // answers of statements that are run and not answered
	errorCode       string
	silent          bool
	stopped         bool
	serviceTime     time.Duration // of each read, write and commit
	slots           chan struct{} // nil: no limit
}

// New starts a group with the given servers, of which the first leads.
func New(name string, ids ...string) (*Group, error) {
	g := &Group{Name: name, term: 1, primary: ids[0], servers: map[string]*Server{}}
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

// ExecutedStatements returns what the servers have run so far.
func (g *Group) ExecutedStatements() []ExecutedStatement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.executed)
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

// Primary returns the server that leads, empty for none.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// SessionsOpened returns the number of sessions opened at all servers so far.
func (g *Group) SessionsOpened() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sessionsOpened
}

// Promote makes a server the leader of the next term.
func (g *Group) Promote(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term++
	g.primary = id
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

// DropPutResponses makes a server run the next n reads, writes and commits without answering them.
func (g *Group) DropResponses(id string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].responsesToDrop = n
}

// SetError makes a server answer reads, writes and commits with a word of the protocol; empty ends it.
func (g *Group) SetError(id, word string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].errorCode = word
}

// SetServiceTime makes each read, write and commit of a server occupy one of its slots for a time.
func (g *Group) SetServiceTime(id string, slots int, work time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].slots = make(chan struct{}, slots)
	g.servers[id].serviceTime = work
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
	server       *Server
	conn         net.Conn
	in           *bufio.Reader
	account      string
	values       map[string]string
	prepared     map[string]string // name to "MODE shape"
	txStatus     string            // I, T or E
	needsPrimary bool              // the transaction needs the lead
	pending      []record
}

func (c *session) run() {
	line, err := c.readLine()
	if err != nil || !c.startUp(line) {
		return
	}
	for {
		line, err := c.readLine()
		if err != nil || line == "TERMINATE" {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		c.occupySlot(text)
		answer := c.execute(id, text)
		if answer == "" {
			return // the answer is lost
		}
		if _, err := c.conn.Write([]byte(answer + c.readyLine())); err != nil {
			return
		}
	}
}

// occupySlot takes a slot for the time that a read, write or commit works.
func (c *session) occupySlot(text string) {
	c.server.group.mu.Lock()
	slots, work := c.server.slots, c.server.serviceTime
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

func (c *session) readLine() (string, error) {
	line, err := c.in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

func (c *session) startUp(line string) bool {
	f := strings.Fields(line)
	g := c.server.group
	g.mu.Lock()
	silent := c.server.silent
	full := g.maxConnections > 0 && len(c.server.conns) >= g.maxConnections
	wrong := len(f) < 3 || f[0] != "STARTUP" || f[1] != g.Name || len(f) > 3 && f[3] != c.server.ID
	if !full && !wrong {
		c.server.conns[c.conn] = f[2]
		c.account = f[2]
		g.sessionsOpened++
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
	c.txStatus = "I"
	_, err := c.conn.Write([]byte(c.readyLine()))
	return err == nil
}

func (c *session) readyLine() string {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("READY %s %d.%d\r\n", c.txStatus, g.term, c.server.logLength())
}

// logLength is the length of the server's log. The caller holds the lock.
func (s *Server) logLength() int {
	if s.ID == s.group.primary {
		return len(s.group.log)
	}
	return max(len(s.group.log)-s.lag, 0)
}

const completeLine = "COMPLETE -\r\n"

func (c *session) errorResponse(word string) string {
	if c.txStatus == "T" {
		c.txStatus = "E"
	}
	return "ERROR " + word + " " + c.server.ID + "\r\n"
}

func (c *session) execute(id, text string) string {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	word, rest, _ := strings.Cut(text, " ")
	if word == "AFTER" {
		var at string
		at, text, _ = strings.Cut(rest, " ")
		_, number, _ := strings.Cut(at, ".")
		if n, _ := strconv.Atoi(number); n > c.server.logLength() {
			return c.errorResponse("LAGGING")
		}
		word, rest, _ = strings.Cut(text, " ")
	}
	if c.txStatus == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return c.errorResponse("MALFORMED")
	}
	switch word {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		return completeLine
	case "PREPARE":
		name, what, _ := strings.Cut(rest, " ")
		c.prepared[name] = what
		return completeLine
	case "DEALLOC":
		delete(c.prepared, rest)
		return completeLine
	case "DISCARD":
		clear(c.values)
		clear(c.prepared)
		return completeLine
	case "BEGIN":
		return c.begin(rest)
	case "ROLLBACK":
		c.txStatus, c.pending = "I", nil
		return completeLine
	case "STATUS":
		return c.status()
	case "STEPDOWN":
		if c.server.ID == g.primary {
			g.primary = ""
		}
		return c.status()
	}
	return c.runStatement(id, text, word, rest)
}

func (c *session) begin(mode string) string {
	leads := mode != "READ"
	if leads && c.server.ID != c.server.group.primary {
		return c.errorResponse("READONLY")
	}
	c.txStatus, c.needsPrimary = "T", leads
	return completeLine
}

func (c *session) status() string {
	g := c.server.group
	role := "replica"
	if c.server.ID == g.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %d.%d 0 0 0 %d\r\n%s", role, g.term, g.term, c.server.logLength(), len(c.server.conns), completeLine)
}

// runStatement runs a read, write or commit.
func (c *session) runStatement(id, text, word, rest string) string {
	g := c.server.group
	if c.server.errorCode != "" {
		return c.errorResponse(c.server.errorCode)
	}
	run := ExecutedStatement{Server: c.server.ID, Account: c.account, ID: id, Text: text, SessionValues: c.renderedValues(), InTransaction: c.txStatus != "I", OnPrimary: c.server.ID == g.primary, At: time.Now()}
	writes := word == "WRITE"
	item, value, _ := strings.Cut(rest, " ")
	if word == "EXECUTE" {
		what, ok := c.prepared[item]
		if !ok {
			return c.errorResponse("NOSTMT")
		}
		writes = strings.HasPrefix(what, "WRITE")
		run.Text = what + " " + value
		item, value, _ = strings.Cut(value, " ")
	}
	leads := c.server.ID == g.primary
	if (writes || c.txStatus == "T" && c.needsPrimary) && !leads && (word != "COMMIT" || len(c.pending) > 0) {
		return c.errorResponse("READONLY")
	}
	answer := ""
	switch {
	case word == "COMMIT":
		g.log = append(g.log, c.pending...)
		run.TookEffect = len(c.pending) > 0
		c.txStatus, c.pending = "I", nil
	case writes && c.txStatus == "T":
		c.pending = append(c.pending, record{g.term, item, value})
	case writes:
		g.log = append(g.log, record{g.term, item, value})
		run.TookEffect = true
	default:
		answer = "DATAROW " + c.read(item) + "\r\n"
	}
	g.executed = append(g.executed, run)
	if c.server.responsesToDrop > 0 {
		c.server.responsesToDrop--
		return ""
	}
	return answer + "COMPLETE receipt-" + c.server.ID + "-" + id + "\r\n"
}

// read returns the last value of an item in the server's log, or in the open transaction.
func (c *session) read(item string) string {
	log := append(slices.Clone(c.server.group.log[:c.server.logLength()]), c.pending...)
	for _, r := range slices.Backward(log) {
		if r.item == item {
			return r.value
		}
	}
	return "-"
}

func (c *session) renderedValues() string {
	var out []string
	for name, value := range c.values {
		out = append(out, name+"="+value)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
