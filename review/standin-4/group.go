package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is heartbeat_ms of the settings; an entry is removed after three intervals of silence.
	heartbeat = 1200 * time.Millisecond
	beatPoll  = 20 * time.Millisecond
	// replicationPoll is how often replicas look for new records.
	replicationPoll = 2 * time.Millisecond
	// leadAfterContact is how long a replaced primary leads once it can reach the new one, where fences aren't checked.
	leadAfterContact = time.Second
	serverSlots      = 4
)

// commit is one record of a log.
type commit struct {
	term uint64
	id   string // of the client's WRITE, or of its COMMIT
	at   time.Time
}

// promotion is a promote that has taken effect.
type promotion struct {
	server string
	term   uint64
	at     time.Time
}

// execution is a commit as a server has run it.
type execution struct {
	id, server string
	term       uint64
	at         time.Time
}

// group is one service: a primary and its replicas.
type group struct {
	name          string
	syncReplicas  int
	fenced        bool
	promoteTime   time.Duration
	writeEntry    func(s *server)
	removeEntry   func(s *server)
	onPromotion   func(p promotion, log []commit)
	mu            sync.Mutex
	term          uint64
	servers       []*server
	promotions    []promotion
	executed      []execution
	newest        *server // leads the newest term, or has led it last
	stopped       chan struct{}
	recordComment func(format string, args ...any)
}

// server is one server. Its fields are guarded by the mutex of its group.
type server struct {
	group    *group
	id, zone string
	address  string
	listener net.Listener
	lag      time.Duration // of its replication

	born       time.Time
	up         bool
	draining   bool
	cutFromCtl bool // partitioned from the store
	leads      bool
	leadUntil  time.Time // set for a replaced primary that goes on; zero: no limit
	term       uint64    // the newest that it knows
	pausedIn   uint64    // term of a PAUSE; 0: none
	log        []commit
	conns      map[net.Conn]bool
	lastBeat   time.Time
	listed     bool
}

func newGroup(name string, syncReplicas int, fenced bool) *group {
	return &group{name: name, syncReplicas: syncReplicas, fenced: fenced, promoteTime: 300 * time.Millisecond, term: 1, stopped: make(chan struct{})}
}

// add starts a server. The first one is the primary.
func (g *group) add(id, zone string, lag time.Duration) (*server, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s := &server{group: g, id: id, zone: zone, lag: lag, address: l.Addr().String(), conns: map[net.Conn]bool{}}
	g.mu.Lock()
	s.leads = len(g.servers) == 0
	g.servers = append(g.servers, s)
	s.startLocked(l)
	if s.leads {
		s.term, g.newest = g.term, s
	}
	g.mu.Unlock()
	go s.replicate()
	go s.beat()
	return s, nil
}

func (g *group) stop() {
	close(g.stopped)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.crashLocked()
	}
}

// startLocked starts the process of the server.
func (s *server) startLocked(l net.Listener) {
	s.up, s.born, s.listener = true, time.Now(), l
	s.reportLocked()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.group.mu.Lock()
			s.conns[conn] = true
			s.group.mu.Unlock()
			go func() {
				newServerSession(s, conn).run()
				_ = conn.Close()
				s.group.mu.Lock()
				delete(s.conns, conn)
				s.group.mu.Unlock()
			}()
		}
	}()
}

func (s *server) crashLocked() {
	s.up = false
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// crash ends the process of the server.
func (s *server) crash() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.crashLocked()
}

// restart starts the process of the server again at its address. A replica holds and knows nothing of before; a primary that crashed
// comes back with its log, as a replica if another server was promoted.
func (s *server) restart() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.leads && s.group.term > s.term {
		s.leads = false
	}
	if !s.leads {
		s.log, s.term = nil, 0
	}
	s.pausedIn = 0
	s.startLocked(l)
	return nil
}

// setCutFromStore partitions the server from the store, or ends that.
func (s *server) setCutFromStore(cut bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.cutFromCtl = cut
	s.reportLocked()
}

// reportLocked writes the entry of the server, if it reaches the store.
func (s *server) reportLocked() {
	if s.up && !s.cutFromCtl {
		s.lastBeat, s.listed = time.Now(), true
		s.group.writeEntry(s)
	}
}

// beat pings the store; the store removes the entry of a server after three intervals of silence.
func (s *server) beat() {
	for {
		select {
		case <-s.group.stopped:
			return
		case <-time.After(beatPoll):
		}
		s.group.mu.Lock()
		switch {
		case s.up && !s.cutFromCtl && time.Since(s.lastBeat) < heartbeat:
		case s.up && !s.cutFromCtl:
			if !s.listed {
				s.reportLocked()
			}
			s.lastBeat = time.Now()
		case s.listed && time.Since(s.lastBeat) > 3*heartbeat:
			s.listed = false
			s.group.removeEntry(s)
		}
		s.group.mu.Unlock()
	}
}

// primaryLocked returns the server that leads the newest term, or nil.
func (g *group) primaryLocked() *server {
	for _, s := range g.servers {
		if s.leads && s.term == g.term {
			return s
		}
	}
	return nil
}

func (g *group) primary() *server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryLocked()
}

// server returns the server with an id.
func (g *group) server(id string) *server {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// reportAll makes all servers write their entries again.
func (g *group) reportAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.reportLocked()
	}
}

// replicate makes the server receive the log of the primary.
func (s *server) replicate() {
	for {
		select {
		case <-s.group.stopped:
			return
		case <-time.After(replicationPoll):
		}
		s.group.mu.Lock()
		s.receiveLocked()
		s.endLeadLocked()
		s.group.mu.Unlock()
	}
}

func (s *server) receiveLocked() {
	p := s.group.newest
	if p == s || !p.up || !s.up || s.leads || s.pausedIn > p.term {
		return
	}
	n, now := len(p.log), time.Now()
	for n > 0 && now.Sub(p.log[n-1].at) < s.lag {
		n--
	}
	if p.term == s.term && n < len(s.log) {
		return
	}
	s.term, s.pausedIn = p.term, 0
	s.log = append([]commit(nil), p.log[:n]...)
}

// endLeadLocked ends the lead of a replaced primary that has reached the new one.
func (s *server) endLeadLocked() {
	if s.leads && !s.leadUntil.IsZero() && time.Now().After(s.leadUntil) {
		s.stepDownLocked()
	}
}

// awaitBeat waits until the next ping of the server is due.
func (s *server) awaitBeat() {
	for {
		s.group.mu.Lock()
		age := time.Since(s.lastBeat)
		s.group.mu.Unlock()
		if age > heartbeat-100*time.Millisecond {
			return
		}
		time.Sleep(beatPoll)
	}
}

func (s *server) stepDownLocked() {
	s.leads, s.leadUntil = false, time.Time{}
	s.reportLocked()
}

// promote carries out a call to the platform. It returns false if the server isn't running.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.id != id {
			continue
		}
		if !s.up {
			return false
		}
		if s != g.primaryLocked() {
			time.AfterFunc(g.promoteTime, func() { g.takeEffect(s) })
		}
		return true
	}
	return false
}

func (g *group) takeEffect(s *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.up || s == g.primaryLocked() {
		return
	}
	old := g.primaryLocked()
	g.term++
	s.leads, s.term, s.pausedIn, s.leadUntil, g.newest = true, g.term, 0, time.Time{}, s
	p := promotion{s.id, g.term, time.Now()}
	g.promotions = append(g.promotions, p)
	g.onPromotion(p, s.log)
	s.reportLocked()
	switch {
	case old == nil:
	case g.fenced:
		old.stepDownLocked()
	default:
		old.leadUntil = time.Now().Add(leadAfterContact)
	}
}

// commitLocked appends a commit to the log of a server that leads, and waits for the replicas that have to have received it. It reports
// false if the commit can't be acknowledged.
func (s *server) commitLocked(id string) bool {
	g := s.group
	s.log = append(s.log, commit{s.term, id, time.Now()})
	g.executed = append(g.executed, execution{id, s.id, s.term, time.Now()})
	n, term := len(s.log), s.term
	for s.up && s.leads && s.term == term {
		received := 0
		for _, r := range g.servers {
			if r != s && r.up && r.term == term && len(r.log) >= n {
				received++
			}
		}
		if received >= g.syncReplicas {
			return true
		}
		g.mu.Unlock()
		time.Sleep(time.Millisecond)
		g.mu.Lock()
	}
	return false
}

func (s *server) positionLocked() string {
	return fmt.Sprintf("%d.%d", s.term, len(s.log))
}

// statusLocked returns the row of STATUS.
func (s *server) statusLocked() string {
	role := "replica"
	if s.leads {
		role = "primary"
	}
	return strings.Join([]string{role, fmt.Sprint(s.term), s.positionLocked(), fmt.Sprint(s.pausedIn), "0", "0", fmt.Sprint(len(s.conns))}, " ")
}
