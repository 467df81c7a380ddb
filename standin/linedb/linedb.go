// Package linedb is a small stand-in for a database group that speaks the platform's line protocol over TCP. Its servers
// have terms and log positions, and one of them is the primary. Tests inject faults and read the statements that the
// servers have executed.
package linedb

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ExecutedStatement is a read, write or commit that a server has executed.
type ExecutedStatement struct {
	Server, Account, ID, Text string
	// SessionValues are the session values at that time, rendered as name=value in the order of the names.
	SessionValues string
	// InTransaction reports whether it was executed inside a transaction.
	InTransaction bool
	// OnPrimary reports whether the server was the primary.
	OnPrimary bool
	// OnFormerPrimary reports whether the server was a replaced primary that had not stepped down.
	OnFormerPrimary bool
	// At is the time of execution.
	At time.Time
	// TookEffect reports whether it was a write or commit that changed the log.
	TookEffect bool
}

// Arrival is the arrival of a read, write or commit at a server, before it waits for a slot.
type Arrival struct {
	Server, ID string
	At         time.Time
}

// record is an entry of the replicated log.
type record struct {
	term  uint64
	item  string
	value string
}

// Group is a database group: one primary and its replicas.
type Group struct {
	Name string

	mu       sync.Mutex
	term     uint64
	primary  string
	log      []record // of the primary; replicas have a prefix of it
	servers  map[string]*Server
	executed []ExecutedStatement
	arrivals []Arrival
	// maxConnections limits the connections to each server; 0 means no limit.
	maxConnections int
	sessionsOpened int
	// unfenced makes a replaced primary go on until it is told to step down.
	unfenced bool
	// copies is the number of replicas that must have received a commit before it is acknowledged.
	copies int
	// acknowledged is the length of the log up to the last acknowledged commit, and lost the number of acknowledged commits that
	// promotions have dropped.
	acknowledged, lost int
}

// Server is one server of a group.
type Server struct {
	ID       string
	group    *Group
	listener net.Listener

	// Guarded by the group's mu.
	lag             int    // number of records that a replica is behind
	deaf            bool   // it receives nothing since its log had the length frozen
	held            uint64 // term of the PAUSE since which it receives nothing; 0: none
	frozen          int
	conns           map[net.Conn]string
	responsesToDrop int // number of statements still to be executed without a response
	errorCode       string
	silent          bool
	stopped         bool
	replacedIn      uint64        // term that began when it was replaced
	replaced        bool          // it was the primary, and goes on as one although another server was promoted
	onStepDown      func()        // nil: none
	busyUntilQuiet  time.Duration // controls get BUSY until nothing has arrived for so long; 0: never
	arrivedAt       time.Time     // when the last read, write or commit arrived
	busyControls    int           // number of STATUS and STEPDOWN still to be answered with BUSY
	serviceTime     time.Duration // of each read, write and commit
	slots           chan struct{} // nil means no limit
	outstanding     int           // reads, writes and commits that wait for a slot or occupy one
	peakOutstanding int
}

// New starts a group with the given servers. The first is the primary.
func New(name string, ids ...string) (*Group, error) {
	g := &Group{Name: name, term: 1, primary: ids[0], servers: map[string]*Server{}}
	for _, id := range ids {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			g.Close()
			return nil, err
		}
		s := &Server{ID: id, group: g, listener: listener, conns: map[net.Conn]string{}}
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

// Address returns the IP:port on which a server listens.
func (g *Group) Address(id string) string {
	return g.servers[id].listener.Addr().String()
}

// ExecutedStatements returns the statements that the servers have executed so far, in order.
func (g *Group) ExecutedStatements() []ExecutedStatement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.executed)
}

// Arrivals returns the statements that the servers have received so far, in order.
func (g *Group) Arrivals() []Arrival {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.arrivals)
}

// MostArrivals returns the largest number of statements that a server has received within any window of the given length between
// two times.
func (g *Group) MostArrivals(id string, from, to time.Time, window time.Duration) int {
	arrivals := slices.DeleteFunc(g.Arrivals(), func(a Arrival) bool { return a.Server != id || a.At.Before(from) || a.At.After(to) })
	most, first := 0, 0
	for i, last := range arrivals {
		for last.At.Sub(arrivals[first].At) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
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

// Primary returns the ID of the primary, empty if there is none.
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

// SetUnfenced makes a replaced primary accept statements until it is told to step down.
func (g *Group) SetUnfenced() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unfenced = true
}

// Leads reports whether a server takes itself for the primary.
func (g *Group) Leads(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers[id].leads()
}

// OnStepDown sets a function that is called after a server has stepped down.
func (g *Group) OnStepDown(id string, f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].onStepDown = f
}

// SetBusyControls makes a server answer the next n control statements with BUSY.
func (g *Group) SetBusyControls(id string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].busyControls = n
}

// SetBusyUntilQuiet makes a server answer STATUS, STEPDOWN, PAUSE and RESUME with BUSY until no read, write or commit has arrived for a
// time, as one does whose slots are never free while statements wait for them.
func (g *Group) SetBusyUntilQuiet(id string, quiet time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].busyUntilQuiet = quiet
}

// Promote makes a server the primary of the next term, with what it had received and nothing more. It changes nothing for the primary.
func (g *Group) Promote(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if id == g.primary && g.servers[id].leads() {
		return
	}
	received := g.servers[id].logLength()
	g.lost += max(g.acknowledged-received, 0)
	g.acknowledged = min(g.acknowledged, received)
	g.log = g.log[:received]
	for _, s := range g.servers {
		s.held = 0
	}
	if old := g.servers[g.primary]; old != nil && g.primary != id {
		old.replaced, old.replacedIn = g.unfenced, g.term+1
	}
	g.servers[id].replaced = false
	g.term++
	g.primary = id
	g.servers[id].lag, g.servers[id].deaf = 0, false
}

// SetCopies makes the servers acknowledge a commit only once n replicas have received it.
func (g *Group) SetCopies(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.copies = n
}

// SetDeaf makes a replica receive nothing, or end that.
func (g *Group) SetDeaf(id string, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	s.frozen = s.logLength()
	s.deaf = deaf
}

// RestartEmpty restarts a replica, which then holds nothing. It receives nothing until SetDeaf ends that.
func (g *Group) RestartEmpty(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	s.frozen, s.deaf, s.held = 0, true, 0
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// IsPaused reports whether a replica receives nothing because of a PAUSE.
func (g *Group) IsPaused(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers[id].held > 0
}

// LostCommits returns how many commits that copies had acknowledged promotions have dropped, since the promoted server had not received
// them.
func (g *Group) LostCommits() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lost
}

// SetMaxConnections limits the connections to each server.
func (g *Group) SetMaxConnections(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxConnections = n
}

// SetLag makes a replica lag behind the primary by n records.
func (g *Group) SetLag(id string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].lag = n
}

// DropResponses makes a server execute the next n reads, writes and commits and then close the connection without a
// response.
func (g *Group) DropResponses(id string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].responsesToDrop = n
}

// SetError makes a server reject reads, writes and commits with an error code of the protocol; an empty code ends it.
func (g *Group) SetError(id, code string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].errorCode = code
}

// SetServiceTime limits a server to a number of slots; each read, write and commit occupies one for serviceTime.
func (g *Group) SetServiceTime(id string, slots int, serviceTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].slots = make(chan struct{}, slots)
	g.servers[id].serviceTime = serviceTime
}

// SetSilent makes a server accept new connections without ever responding.
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

// Server returns the server with the given ID.
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
			ss := &session{server: s, conn: conn, in: bufio.NewReader(conn), values: map[string]string{}, prepared: map[string]string{}}
			ss.run()
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
	prepared     map[string]string // statement "MODE shape" by name
	txStatus     string            // I (idle), T (in a transaction) or E (failed transaction), as in READY
	needsPrimary bool              // the transaction is not read-only
	pending      []record
}

func (s *session) run() {
	line, err := s.readLine()
	if err != nil || !s.startUp(line) {
		return
	}
	for {
		line, err := s.readLine()
		if err != nil || line == "TERMINATE" {
			return
		}
		command, rest, _ := strings.Cut(line, " ")
		if command != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		s.receive(id, text)
		response := s.execute(id, text)
		if response == "" {
			return // the response is dropped
		}
		if _, err := s.conn.Write([]byte(response + s.readyLine())); err != nil {
			return
		}
	}
}

// receive records the arrival of a read, write or commit and occupies a slot for the service time. Other requests take no time.
func (s *session) receive(id, text string) {
	command, rest, _ := strings.Cut(text, " ")
	if command == "AFTER" {
		_, rest, _ = strings.Cut(rest, " ")
		command, _, _ = strings.Cut(rest, " ")
	}
	switch command {
	case "READ", "WRITE", "EXECUTE", "COMMIT":
	default:
		return
	}
	g := s.server.group
	g.mu.Lock()
	g.arrivals = append(g.arrivals, Arrival{Server: s.server.ID, ID: id, At: time.Now()})
	s.server.arrivedAt = time.Now()
	slots, serviceTime := s.server.slots, s.server.serviceTime
	g.mu.Unlock()
	if slots == nil {
		return
	}
	s.server.addOutstanding(1)
	defer s.server.addOutstanding(-1)
	slots <- struct{}{}
	time.Sleep(serviceTime)
	<-slots
}

func (s *Server) addOutstanding(n int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.outstanding += n
	s.peakOutstanding = max(s.peakOutstanding, s.outstanding)
}

// PeakOutstanding returns the largest number of reads, writes and commits that a server with slots had at one time.
func (g *Group) PeakOutstanding(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers[id].peakOutstanding
}

// readLine reads a message. It ends with CR LF; a line feed alone is a part of it.
func (s *session) readLine() (string, error) {
	var line []byte
	for !bytes.HasSuffix(line, []byte("\r\n")) {
		part, err := s.in.ReadBytes('\n')
		if err != nil {
			return "", err
		}
		line = append(line, part...)
	}
	return string(line[:len(line)-len("\r\n")]), nil
}

func (s *session) startUp(line string) bool {
	fields := strings.Fields(line)
	g := s.server.group
	g.mu.Lock()
	silent := s.server.silent
	full := g.maxConnections > 0 && len(s.server.conns) >= g.maxConnections
	misrouted := len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != g.Name || len(fields) > 3 && fields[3] != s.server.ID
	if !full && !misrouted {
		s.server.conns[s.conn] = fields[2]
		s.account = fields[2]
		g.sessionsOpened++
	}
	g.mu.Unlock()
	switch {
	case silent:
		time.Sleep(time.Minute)
		return false
	case misrouted:
		_, _ = s.conn.Write([]byte("ERROR MISROUTED " + s.server.ID + "\r\n"))
		return false
	case full:
		_, _ = s.conn.Write([]byte("ERROR TOOMANY " + s.server.ID + "\r\n"))
		return false
	}
	s.txStatus = "I"
	_, err := s.conn.Write([]byte(s.readyLine()))
	return err == nil
}

func (s *session) readyLine() string {
	g := s.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("READY %s %d.%d\r\n", s.txStatus, g.term, s.server.logLength())
}

// logLength returns the length of the server's log. The caller holds the group's mu.
func (s *Server) logLength() int {
	switch {
	case s.ID == s.group.primary:
		return len(s.group.log)
	case s.deaf || s.held > 0:
		return min(s.frozen, len(s.group.log))
	}
	return max(len(s.group.log)-s.lag, 0)
}

// awaitCopies waits until the replicas have received a commit that makes the log n records long, and reports false if the server has
// ended or lost the lead before, or the caller has closed the connection. The caller holds the group's mu, which is released meanwhile.
func (s *session) awaitCopies(n int) bool {
	server, g := s.server, s.server.group
	for !server.stopped && server.leads() {
		received := 0
		for _, r := range g.servers {
			if r != server && !r.stopped && r.logLength() >= n {
				received++
			}
		}
		if received >= g.copies {
			g.acknowledged = max(g.acknowledged, n)
			return true
		}
		g.mu.Unlock()
		closed := s.closedWithin(time.Millisecond)
		g.mu.Lock()
		if closed {
			return false
		}
	}
	return false
}

// closedWithin reports whether the caller terminates the session or closes the connection within a time.
func (s *session) closedWithin(d time.Duration) bool {
	_ = s.conn.SetReadDeadline(time.Now().Add(d))
	defer func() { _ = s.conn.SetReadDeadline(time.Time{}) }()
	_, err := s.in.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

const completeLine = "COMPLETE -\r\n"

func (s *session) errorResponse(code string) string {
	if s.txStatus == "T" {
		s.txStatus = "E"
	}
	return "ERROR " + code + " " + s.server.ID + "\r\n"
}

func (s *session) execute(id, text string) string {
	g := s.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	command, rest, _ := strings.Cut(text, " ")
	if command == "AFTER" {
		var position string
		position, text, _ = strings.Cut(rest, " ")
		_, lsn, _ := strings.Cut(position, ".")
		if n, _ := strconv.Atoi(lsn); n > s.server.logLength() {
			return s.errorResponse("LAGGING")
		}
		command, rest, _ = strings.Cut(text, " ")
	}
	if s.txStatus == "E" && command != "ROLLBACK" && command != "COMMIT" {
		return s.errorResponse("MALFORMED")
	}
	switch command {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return completeLine
	case "PREPARE":
		name, statement, _ := strings.Cut(rest, " ")
		s.prepared[name] = statement
		return completeLine
	case "DEALLOC":
		delete(s.prepared, rest)
		return completeLine
	case "DISCARD":
		clear(s.values)
		clear(s.prepared)
		return completeLine
	case "BEGIN":
		return s.begin(rest)
	case "ROLLBACK":
		s.txStatus, s.pending = "I", nil
		return completeLine
	case "STATUS", "STEPDOWN", "PAUSE", "RESUME":
		return s.control(command, rest)
	}
	return s.runStatement(id, text, command, rest)
}

// control executes STATUS, or STEPDOWN with a term: a primary of a lower term becomes a replica;
// PAUSE with a term above the newest one: a replica receives nothing until RESUME or a promotion. Each occupies a slot, and gets
// BUSY if none is free.
func (s *session) control(command, argument string) string {
	if s.server.busyControls > 0 {
		s.server.busyControls--
		return s.errorResponse("BUSY")
	}
	if time.Since(s.server.arrivedAt) < s.server.busyUntilQuiet {
		return s.errorResponse("BUSY")
	}
	select {
	case s.server.slots <- struct{}{}:
		defer func() { <-s.server.slots }()
	default:
		if s.server.slots != nil {
			return s.errorResponse("BUSY")
		}
	}
	term, err := strconv.ParseUint(argument, 10, 64)
	switch {
	case command == "STEPDOWN" && err == nil:
		s.server.stepDownBelow(term)
	case command == "PAUSE" && err == nil && term > s.server.group.term && !s.server.leads():
		s.server.frozen, s.server.held = s.server.logLength(), term
	case command == "RESUME":
		s.server.held = 0
	}
	return s.status()
}

// stepDownBelow makes a primary of a lower term a replica. The caller holds the group's mu.
func (s *Server) stepDownBelow(term uint64) {
	g := s.group
	switch {
	case s.replaced && s.replacedIn <= term:
		s.replaced = false
	case s.ID == g.primary && g.term < term:
		g.primary = ""
	default:
		return
	}
	if s.onStepDown != nil {
		go s.onStepDown()
	}
}

// leads reports whether the server accepts the statements of a primary. The caller holds the group's mu.
func (s *Server) leads() bool {
	return s.ID == s.group.primary || s.replaced
}

func (s *session) begin(mode string) string {
	needsPrimary := mode != "READ"
	if needsPrimary && !s.server.leads() {
		return s.errorResponse("READONLY")
	}
	s.txStatus, s.needsPrimary = "T", needsPrimary
	return completeLine
}

func (s *session) status() string {
	g := s.server.group
	role := "replica"
	if s.server.leads() {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %d.%d %d 0 0 %d\r\n%s", role, g.term, g.term, s.server.logLength(), s.server.held, len(s.server.conns), completeLine)
}

// runStatement executes a read, write or commit and returns the response, empty if it is to be dropped.
func (s *session) runStatement(id, text, command, rest string) string {
	g := s.server.group
	if s.server.errorCode != "" {
		return s.errorResponse(s.server.errorCode)
	}
	executed := ExecutedStatement{Server: s.server.ID, Account: s.account, ID: id, Text: text, SessionValues: s.renderedValues(), InTransaction: s.txStatus != "I", OnPrimary: s.server.ID == g.primary, OnFormerPrimary: s.server.replaced, At: time.Now()}
	writes := command == "WRITE"
	item, value, _ := strings.Cut(rest, " ")
	if command == "EXECUTE" {
		prepared, ok := s.prepared[item]
		if !ok {
			return s.errorResponse("NOSTMT")
		}
		writes = strings.HasPrefix(prepared, "WRITE")
		executed.Text = prepared + " " + value
		item, value, _ = strings.Cut(value, " ")
	}
	isPrimary := s.server.leads()
	if (writes || s.txStatus == "T" && s.needsPrimary) && !isPrimary && (command != "COMMIT" || len(s.pending) > 0) {
		return s.errorResponse("READONLY")
	}
	response := ""
	switch {
	case s.server.replaced && (writes || command == "COMMIT"):
		// The former primary's own commits are in no other log.
		executed.TookEffect = writes || len(s.pending) > 0
		s.txStatus, s.pending = "I", nil
	case command == "COMMIT":
		g.log = append(g.log, s.pending...)
		executed.TookEffect = len(s.pending) > 0
		s.txStatus, s.pending = "I", nil
	case writes && s.txStatus == "T":
		s.pending = append(s.pending, record{g.term, item, value})
	case writes:
		g.log = append(g.log, record{g.term, item, value})
		executed.TookEffect = true
	default:
		response = "DATAROW " + s.read(item) + "\r\n"
	}
	g.executed = append(g.executed, executed)
	if g.copies > 0 && executed.TookEffect && executed.OnPrimary && !s.awaitCopies(len(g.log)) {
		return ""
	}
	if s.server.responsesToDrop > 0 {
		s.server.responsesToDrop--
		return ""
	}
	return response + "COMPLETE receipt-" + s.server.ID + "-" + id + "\r\n"
}

// read returns the last value of an item in the open transaction or else in the server's log.
func (s *session) read(item string) string {
	log := append(slices.Clone(s.server.group.log[:s.server.logLength()]), s.pending...)
	for _, r := range slices.Backward(log) {
		if r.item == item {
			return r.value
		}
	}
	return "-"
}

func (s *session) renderedValues() string {
	var out []string
	for name, value := range s.values {
		out = append(out, name+"="+value)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
