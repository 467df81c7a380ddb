package pool

import (
	"context"
	"time"

	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// watchInterval is the time between two looks at the connections in use.
const watchInterval = 250 * time.Millisecond

// Run watches the connections in use for silent ones until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	if p.cfg.Executing == nil {
		return
	}
	wait.Every(ctx, min(watchInterval, p.cfg.QuietAfter/2), func() { p.watch(ctx) })
}

func (p *Pool) watch(ctx context.Context) {
	p.mu.Lock()
	servers := make([]*server, 0, len(p.servers))
	for _, s := range p.servers {
		servers = append(servers, s)
	}
	p.mu.Unlock()
	for _, s := range servers {
		s.watch(ctx)
	}
}

// lend starts to watch a connection.
func (s *server) lend(u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lent[u] = &watch{limits: watchLimits{quiet: s.pool.cfg.QuietAfter, grace: s.pool.cfg.SilentGrace}}
}

// watch looks at the connections in use, closes the silent ones and asks about the quiet ones. One
// connection at a time asks about all of them, so that a silent path costs the server few connections.
func (s *server) watch(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.pool.now()
	quiet := make(map[*upstream]progress)
	for u, w := range s.lent {
		switch w.step(now, u.conn.sample()) {
		case verdictAsk:
			quiet[u] = w.seen
		case verdictSilent:
			s.dropSilent(u, w)
		}
	}
	ending := len(s.ending) > 0 && now >= s.endAt
	if s.asking || len(quiet) == 0 && !ending {
		return
	}
	s.asking = true
	var sessions []dbgroup.Session
	if ending {
		sessions, s.ending = s.ending, nil
	}
	go func() {
		s.end(ctx, sessions)
		s.ask(ctx, quiet)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.asking = false
	}()
}

// end has the server end sessions whose connections were closed as silent. It may not notice their end
// itself for hours, and they hold locks and connections meanwhile.
func (s *server) end(ctx context.Context, sessions []dbgroup.Session) {
	if len(sessions) == 0 || s.pool.cfg.Terminate == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.pool.cfg.ConnectTimeout)
	defer cancel()
	if s.pool.cfg.Terminate(ctx, s.address, sessions) == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = append(s.ending, sessions...)
	s.endAt = s.pool.now() + s.pool.cfg.QuietAfter
}

// dropSilent closes a silent connection and the idle ones that have not worked since the server said
// that it executes nothing for it: what silences one connection, as a firewall that lost its state,
// mostly silences all that it knew. It may have happened at any moment before.
func (s *server) dropSilent(u *upstream, w *watch) {
	u.conn.fail()
	delete(s.lent, u)
	s.ending = append(s.ending, u.session())
	s.dropIdle(s.pool.origin.Add(w.closeAt - w.limits.grace))
	s.pool.suspect.Store(int64(s.pool.now()))
	if s.pool.cfg.OnSilent != nil {
		s.pool.cfg.OnSilent(s.address, u.pid)
	}
}

// needsCheck reports whether an idle connection is checked before use: it has rested for long, or a
// connection to any server turned out to be silent since its last use.
func (p *Pool) needsCheck(u *upstream) bool {
	suspect := p.origin.Add(time.Duration(p.suspect.Load()))
	return time.Since(u.since) >= p.cfg.CheckAfter || u.since.Before(suspect)
}

// dropIdle closes the idle connections last used before a moment. The lock is held.
func (s *server) dropIdle(before time.Time) {
	kept := s.idle[:0]
	for _, u := range s.idle {
		if u.since.Before(before) {
			u.close()
			s.ending = append(s.ending, u.session())
			continue
		}
		kept = append(kept, u)
	}
	clear(s.idle[len(kept):])
	s.idle = kept
}

// ask asks the server about the quiet connections.
func (s *server) ask(ctx context.Context, quiet map[*upstream]progress) {
	if len(quiet) == 0 {
		return
	}
	sessions := make([]dbgroup.Session, 0, len(quiet))
	for u := range quiet {
		sessions = append(sessions, u.session())
	}
	ctx, cancel := context.WithTimeout(ctx, s.pool.cfg.ConnectTimeout)
	defer cancel()
	executing, err := s.pool.cfg.Executing(ctx, s.address, sessions)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.pool.now()
	for u, asked := range quiet {
		if w := s.lent[u]; w != nil {
			w.told(now, asked, err != nil || executing[u.session()])
		}
	}
}
