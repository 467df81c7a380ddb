package main

import (
	"bufio"
	"cmp"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry of a server's log.
type logEntry struct {
	term       int
	id, item   string
	value      string
	receivedAt time.Time
}

// execution is a statement that a server has run.
type execution struct {
	at                       time.Time
	server, tenant, id, text string
	committed                []logEntry // what it has added to the log
	term                     int
	former                   bool // the server had been replaced
}

// group is a service of one primary and its replicas, as PROTOCOL.md describes it. Each server has a log of its own.
type group struct {
	name    string
	rec     *recorder
	opts    options
	publish func(*dbServer)
	remove  func(*dbServer)

	mu         sync.Mutex
	servers    []*dbServer
	term       int
	executed   []execution
	promotions []promotion
}

type promotion struct {
	at     time.Time
	id     string
	log    []logEntry
	before *dbServer
}

type dbServer struct {
	group    *group
	id       string
	zone     string
	listener net.Listener
	link     *link
	slots    chan struct{}

	// guarded by group.mu
	primary, down, deaf, draining bool
	replaced                      bool // another server was promoted; this one goes on until it is told to step down
	term                          int
	log                           []logEntry
	conns                         map[net.Conn]bool
	waiting                       int
	sequence                      int
	born                          int64
}

const (
	applyDelay   = 60 * time.Millisecond // between the receipt of a commit at a replica and its use for reads
	networkDelay = 8 * time.Millisecond  // between two servers
	writeTime    = 5 * time.Millisecond
	maxWaiting   = 16
)

func newGroup(rec *recorder, o options) *group {
	g := &group{name: "ledger", rec: rec, opts: o, term: 1}
	for i := range o.servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		s := &dbServer{
			group: g, id: fmt.Sprintf("i-%d", i+1), zone: "north-a", listener: l, slots: make(chan struct{}, o.slots), term: 1,
			primary: i == 0, conns: map[net.Conn]bool{}, born: time.Now().UnixMilli(),
		}
		g.servers = append(g.servers, s)
		go s.serve()
		go s.replicate()
	}
	return g
}

// entry returns what a server writes to the platform's store about itself.
func (g *group) entry(s *dbServer) map[string]any {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.sequence++
	state, role := "ready", "replica"
	if s.draining {
		state = "draining"
	}
	if s.primary || s.replaced {
		role = "primary"
	}
	return map[string]any{
		"service": g.name, "address": s.link.address(), "zone": s.zone, "version": "1", "slots": g.opts.slots, "state": state,
		"cold_left_ms": 0, "sequence": s.sequence, "db_role": role, "born": s.born,
	}
}

func (g *group) primary() *dbServer {
	for _, s := range g.servers {
		if s.primary {
			return s
		}
	}
	return nil
}

// promote executes a promotion; the platform has checked its fence.
func (g *group) promote(_, id string) bool {
	g.mu.Lock()
	var next *dbServer
	for _, s := range g.servers {
		if s.id == id && !s.down {
			next = s
		}
	}
	if next == nil || next.primary {
		ok := next != nil
		g.mu.Unlock()
		return ok
	}
	g.mu.Unlock()
	time.Sleep(g.opts.promoteTime)
	g.mu.Lock()
	old := g.primary()
	g.term++
	next.primary, next.term = true, g.term
	if old != nil {
		old.primary = false
		old.replaced = g.opts.unfenced && !old.down
	}
	g.promotions = append(g.promotions, promotion{time.Now(), id, append([]logEntry(nil), next.log...), old})
	for _, s := range g.servers {
		if s != next && !s.replaced {
			s.log = s.log[:commonPrefix(s.log, next.log)]
		}
	}
	g.rec.logf("PLATFORM  %s leads term %d with a log of %d commits", id, g.term, len(next.log))
	g.mu.Unlock()
	g.publish(next) // a change of the role is reported immediately
	if old != nil && old.replaced {
		time.AfterFunc(time.Second, func() { g.stepDown(old) }) // it reaches the new primary
	} else if old != nil && !old.down {
		g.publish(old)
	}
	return true
}

func (g *group) stepDown(s *dbServer) {
	g.mu.Lock()
	was := s.replaced || s.primary
	s.replaced, s.primary = false, false
	if p := g.primary(); p != nil {
		s.log = s.log[:commonPrefix(s.log, p.log)]
	}
	g.mu.Unlock()
	if was {
		g.rec.logf("SERVER    %s is a replica now", s.id)
		g.publish(s)
	}
}

func commonPrefix(a, b []logEntry) int {
	n := 0
	for n < len(a) && n < len(b) && a[n].id == b[n].id && a[n].term == b[n].term && a[n].item == b[n].item {
		n++
	}
	return n
}

// replicate receives the commits of the primary.
func (s *dbServer) replicate() {
	for {
		time.Sleep(time.Millisecond)
		s.group.mu.Lock()
		if p := s.group.primary(); p != nil && p != s && !s.replaced && !s.deaf && !s.down && !p.down {
			s.term = p.term
			for len(s.log) < len(p.log) && time.Since(p.log[len(s.log)].receivedAt) >= networkDelay {
				e := p.log[len(s.log)]
				e.receivedAt = time.Now()
				s.log = append(s.log, e)
			}
		}
		s.group.mu.Unlock()
	}
}

// crash ends a server; its entry is removed after three intervals of silence.
func (g *group) crash(s *dbServer) {
	g.mu.Lock()
	s.down = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	g.mu.Unlock()
	g.rec.logf("FAULT     %s crashes", s.id)
	time.AfterFunc(3600*time.Millisecond, func() { g.remove(s) })
}

func (s *dbServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		s.conns[c] = true
		s.group.mu.Unlock()
		go func() {
			ss := &dbSession{s: s, conn: c, in: bufio.NewReaderSize(c, 64<<10), state: "I", prepared: map[string]string{}}
			ss.run()
			_ = c.Close()
			s.group.mu.Lock()
			delete(s.conns, c)
			s.group.mu.Unlock()
		}()
	}
}

type dbSession struct {
	s        *dbServer
	conn     net.Conn
	in       *bufio.Reader
	tenant   string
	state    string
	plain    bool // the transaction was begun without READ
	prepared map[string]string
	pending  []logEntry
}

// readLine reads a message, which ends with CR LF.
func (ss *dbSession) readLine() (string, error) {
	var line []byte
	for {
		part, err := ss.in.ReadBytes('\n')
		line = append(line, part...)
		if err != nil {
			return "", err
		}
		if len(line) >= 2 && line[len(line)-2] == '\r' {
			return string(line[:len(line)-2]), nil
		}
	}
}

func (ss *dbSession) write(lines ...string) bool {
	_, err := ss.conn.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	return err == nil
}

func (ss *dbSession) ready() string {
	g := ss.s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("READY %s %d.%d", ss.state, ss.s.term, ss.s.applied())
}

// applied returns how much of the log reads see. The caller holds the group's mu.
func (s *dbServer) applied() int {
	if s.primary || s.replaced {
		return len(s.log)
	}
	n := len(s.log)
	for n > 0 && time.Since(s.log[n-1].receivedAt) < applyDelay {
		n--
	}
	return n
}

func (ss *dbSession) run() {
	line, err := ss.readLine()
	f := strings.Fields(line)
	if err != nil {
		return
	}
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != ss.s.group.name || len(f) > 3 && f[3] != ss.s.id {
		ss.write("ERROR MISROUTED " + ss.s.id)
		return
	}
	ss.tenant = f[2]
	if !ss.write(ss.ready()) {
		return
	}
	for {
		line, err := ss.readLine()
		if err != nil || line == "TERMINATE" {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" {
			return
		}
		answer := ss.answer(id, text)
		if answer == nil || !ss.write(append(answer, ss.ready())...) {
			return
		}
	}
}

func (ss *dbSession) fail(code string) []string {
	if ss.state == "T" {
		ss.state = "E"
	}
	return []string{"ERROR " + code + " " + ss.s.id}
}

var done = []string{"COMPLETE -"}

// answer runs a statement and returns the messages before READY, or nil if the connection ends.
func (ss *dbSession) answer(id, text string) []string {
	s, g := ss.s, ss.s.group
	if after, ok := strings.CutPrefix(text, "AFTER "); ok {
		var pos string
		pos, text, _ = strings.Cut(after, " ")
		term, num, _ := strings.Cut(pos, ".")
		t, _ := strconv.Atoi(term)
		n, _ := strconv.Atoi(num)
		g.mu.Lock()
		lags := t > s.term || n > s.applied()
		g.mu.Unlock()
		if lags {
			return ss.fail("LAGGING")
		}
	}
	word, rest, _ := strings.Cut(text, " ")
	if ss.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return ss.fail("MALFORMED")
	}
	switch word {
	case "SET":
		return done
	case "PREPARE":
		name, what, _ := strings.Cut(rest, " ")
		ss.prepared[name] = what
		return done
	case "DISCARD":
		clear(ss.prepared)
		return done
	case "ROLLBACK":
		ss.state, ss.pending = "I", nil
		return done
	case "BEGIN":
		ss.plain = rest != "READ"
		if ss.plain && !ss.leads() {
			return ss.fail("READONLY")
		}
		ss.state = "T"
		return done
	case "STATUS":
		return ss.control(func() {})
	case "STEPDOWN":
		term, _ := strconv.Atoi(rest)
		return ss.control(func() {
			g.mu.Lock()
			lower := (s.primary || s.replaced) && s.term < term
			g.mu.Unlock()
			if lower {
				g.stepDown(s)
			}
		})
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		return ss.run1(id, text, word, rest)
	}
	return ss.fail("MALFORMED")
}

func (ss *dbSession) leads() bool {
	ss.s.group.mu.Lock()
	defer ss.s.group.mu.Unlock()
	return ss.s.primary || ss.s.replaced
}

// control occupies a slot to carry out a command and answer with the status, or is answered with BUSY if none is free.
func (ss *dbSession) control(command func()) []string {
	s, g := ss.s, ss.s.group
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		g.rec.logf("SERVER    %s answers STATUS with BUSY: all %d slots are in use", s.id, cap(s.slots))
		return ss.fail("BUSY")
	}
	command()
	g.mu.Lock()
	defer g.mu.Unlock()
	role := "replica"
	if s.primary || s.replaced {
		role = "primary"
	}
	g.rec.logf("SERVER    %s answers STATUS: %s, received %d.%d", s.id, role, s.term, len(s.log))
	return []string{fmt.Sprintf("DATAROW %s %d %d.%d 0 0 %d %d", role, s.term, s.term, len(s.log), len(s.slots), len(s.conns)), done[0]}
}

// run1 runs a read, a write or a commit.
func (ss *dbSession) run1(id, text, word, rest string) []string {
	s, g := ss.s, ss.s.group
	writes := word == "WRITE"
	item, value, _ := strings.Cut(rest, " ")
	if word == "EXECUTE" {
		what, ok := ss.prepared[item]
		if !ok {
			return ss.fail("NOSTMT")
		}
		writes = strings.HasPrefix(what, "WRITE")
		item, value, _ = strings.Cut(value, " ")
	}
	g.mu.Lock()
	if s.waiting >= maxWaiting {
		g.mu.Unlock()
		return ss.fail("BUSY")
	}
	s.waiting++
	g.mu.Unlock()
	s.slots <- struct{}{}
	work := cmp.Or(g.opts.readTime, 30*time.Millisecond)
	if writes || word == "COMMIT" {
		work = writeTime
	}
	time.Sleep(work)
	<-s.slots
	g.mu.Lock()
	defer g.mu.Unlock()
	s.waiting--
	leads := s.primary || s.replaced
	if s.down {
		return nil
	}
	if (writes || ss.state == "T" && ss.plain) && !leads && (word != "COMMIT" || len(ss.pending) > 0) {
		return ss.fail("READONLY")
	}
	if ss.state == "E" { // COMMIT of a failed transaction
		ss.state, ss.pending = "I", nil
		return []string{"ERROR ABORTED " + s.id}
	}
	x := execution{at: time.Now(), server: s.id, tenant: ss.tenant, id: id, text: text, term: s.term, former: s.replaced}
	var answer []string
	switch {
	case word == "COMMIT":
		x.committed = ss.pending
		ss.state, ss.pending = "I", nil
	case writes && ss.state == "T":
		ss.pending = append(ss.pending, logEntry{id: id, item: item, value: value})
	case writes:
		x.committed = []logEntry{{id: id, item: item, value: value}}
	default:
		answer = []string{"DATAROW " + ss.lookup(item)}
	}
	for i := range x.committed {
		x.committed[i].term, x.committed[i].receivedAt = s.term, time.Now()
		s.log = append(s.log, x.committed[i])
	}
	g.executed = append(g.executed, x)
	number := len(s.log)
	g.rec.logf("RUN       %s tenant=%s id=%s %s", s.id, ss.tenant, id, shorten(text))
	if len(x.committed) > 0 && g.opts.syncReplicas > 0 && !s.awaitReceipt(number) {
		return nil
	}
	return append(answer, fmt.Sprintf("COMPLETE %d.%s.%s", number, s.id, id))
}

// awaitReceipt waits until a replica has received the log up to a number. The caller holds the group's mu.
func (s *dbServer) awaitReceipt(number int) bool {
	g := s.group
	for !s.down && (s.primary || s.replaced) {
		for _, r := range g.servers {
			if r != s && len(r.log) >= number {
				return true
			}
		}
		g.mu.Unlock()
		time.Sleep(time.Millisecond)
		g.mu.Lock()
	}
	return false
}

func (ss *dbSession) lookup(item string) string {
	log := ss.s.log[:ss.s.applied()]
	for i := len(log) - 1; i >= 0; i-- {
		if log[i].item == item {
			return log[i].value
		}
	}
	return "-"
}

func shorten(s string) string {
	if len(s) > 100 {
		s = s[:100] + "..."
	}
	return strconv.Quote(s)
}
