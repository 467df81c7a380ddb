package group

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

var (
	errRefusedByServer = errors.New("refused by the server")
	errDown            = errors.Wrap(syscall.ECONNREFUSED, "fake server is down")
)

// fakeGroup is a database group in memory that keeps the rules of the design page.
type fakeGroup struct {
	mu      sync.Mutex
	servers []*fakeServer
	lag     time.Duration // of replication
	delay   time.Duration // of a call, there and back
}

type fakeServer struct {
	group   *fakeGroup
	state   authority.ServerState
	contact time.Time
	down    bool // refuses connections
	silent  bool // answers nobody
}

// newFakeGroup returns servers a, b, c with a as the primary of term 1.
func newFakeGroup(lag, delay time.Duration) *fakeGroup {
	f := &fakeGroup{lag: lag, delay: delay}
	for _, id := range []authority.ServerID{"a", "b", "c"} {
		s := &fakeServer{group: f, contact: time.Now()}
		s.state = authority.ServerState{
			Server: id, Incarnation: 1, Role: authority.RoleReplica, Term: 1,
			History: position.History{{Term: 1}},
		}
		f.servers = append(f.servers, s)
	}
	f.servers[0].state.Role = authority.RolePrimary
	return f
}

// follow lets replicas copy from their primary until ctx ends.
func (f *fakeGroup) follow(ctx context.Context) {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f.replicateTo(^uint64(0))
		}
	}
}

// replicateTo copies the log up to limit. Without lag limit it only moves replicas to a new term
// and renews their contact.
func (f *fakeGroup) replicateTo(limit uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.primary()
	if p == nil {
		return
	}
	for _, s := range f.servers {
		if s != p {
			s.copyFrom(p, limit)
		}
	}
}

func (f *fakeGroup) primary() *fakeServer {
	var best *fakeServer
	for _, s := range f.servers {
		usable := !s.down && !s.silent && s.state.Role == authority.RolePrimary
		if usable && (best == nil || s.state.Term > best.state.Term) {
			best = s
		}
	}
	return best
}

func (s *fakeServer) copyFrom(p *fakeServer, limit uint64) {
	if s.down || s.silent || s.state.FenceTerm > p.state.Term || s.state.Term > p.state.Term {
		return
	}
	s.contact = time.Now()
	if s.state.Term < p.state.Term {
		s.rewind(p)
	}
	s.state.Role = authority.RoleReplica
	if limit != ^uint64(0) {
		s.state.LSN = max(s.state.LSN, min(limit, p.state.LSN))
	}
}

// rewind moves to a newer term, without what the new log lacks.
func (s *fakeServer) rewind(p *fakeServer) {
	start := p.state.History[len(p.state.History)-1].Start
	if s.state.LSN > start || s.state.Role == authority.RolePrimary {
		s.state.Incarnation++
	}
	s.state.LSN = start
	s.state.Term = p.state.Term
	s.state.History = slices.Clone(p.state.History)
}

// write appends a record at server id and returns its position, or false if it takes no writes.
func (f *fakeGroup) write(id authority.ServerID) (position.Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.server(id)
	if s.down || s.silent || s.state.Role != authority.RolePrimary {
		return position.Position{}, false
	}
	s.state.LSN++
	limit := s.state.LSN
	time.AfterFunc(f.lag, func() { f.replicateTo(limit) })
	return s.state.Position(), true
}

func (f *fakeGroup) server(id authority.ServerID) *fakeServer {
	for _, s := range f.servers {
		if s.state.Server == id {
			return s
		}
	}
	return nil
}

// change edits a server under the lock.
func (f *fakeGroup) change(id authority.ServerID, edit func(*fakeServer)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit(f.server(id))
}

func (f *fakeGroup) connect(s manifest.Server) Adapter {
	server := f.server(authority.ServerID(s.ID))
	return Adapter{Kept: server, Fresh: server}
}

// call runs one exchange: half the delay there, the work, half the delay back.
func (s *fakeServer) call(ctx context.Context, work func() bool) (authority.ServerState, error) {
	if err := sleep(ctx, s.group.delay/2); err != nil {
		return authority.ServerState{}, err
	}
	s.group.mu.Lock()
	down, silent := s.down, s.silent
	accepted := !down && !silent && work()
	state := s.state
	state.History = slices.Clone(state.History)
	if state.Role != authority.RolePrimary {
		state.PrimaryContactAge = time.Since(s.contact)
	}
	s.group.mu.Unlock()
	switch {
	case down:
		return authority.ServerState{}, errDown
	case silent:
		<-ctx.Done()
		return authority.ServerState{}, ctx.Err()
	case !accepted:
		return authority.ServerState{}, errRefusedByServer
	}
	return state, sleep(ctx, s.group.delay/2)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *fakeServer) Probe(ctx context.Context) (authority.ServerState, error) {
	return s.call(ctx, func() bool { return true })
}

func (s *fakeServer) Fence(ctx context.Context, term uint64, owner string) (authority.ServerState, error) {
	return s.call(ctx, func() bool {
		repeat := s.state.FenceTerm == term && s.state.FenceOwner == owner
		if !repeat && term <= max(s.state.FenceTerm, s.state.Term) {
			return false
		}
		s.state.FenceTerm, s.state.FenceOwner = term, owner
		if s.state.Term < term {
			s.state.Role = authority.RoleFenced
		}
		return true
	})
}

func (s *fakeServer) Promote(ctx context.Context, term uint64, owner string) (authority.ServerState, error) {
	return s.call(ctx, func() bool {
		if s.state.FenceTerm != term || s.state.FenceOwner != owner {
			return false
		}
		if s.state.Role == authority.RolePrimary && s.state.Term == term {
			return true
		}
		if s.state.Term >= term {
			return false
		}
		s.state.Term, s.state.Role = term, authority.RolePrimary
		s.state.History = append(slices.Clone(s.state.History), position.Branch{Term: term, Start: s.state.LSN})
		return true
	})
}
