package pool

import (
	"context"
	"time"

	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// silenceCheckInterval is the time between two looks at the connections in use.
const silenceCheckInterval = 250 * time.Millisecond

// Run watches the connections in use for silent ones until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	if p.cfg.Executing == nil {
		return
	}
	wait.Every(ctx, min(silenceCheckInterval, p.cfg.StallTimeout/2), func() { p.checkSilence(ctx) })
}

func (p *Pool) checkSilence(ctx context.Context) {
	p.mu.Lock()
	servers := make([]*server, 0, len(p.servers))
	for _, s := range p.servers {
		servers = append(servers, s)
	}
	p.mu.Unlock()
	for _, s := range servers {
		s.checkSilence(ctx)
	}
}

// trackInUse starts to watch a connection.
func (s *server) trackInUse(u *upstreamConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse[u] = &silenceDetector{limits: silenceLimits{stall: s.pool.cfg.StallTimeout, grace: s.pool.cfg.ResponseGrace}}
}

// checkSilence looks at the connections in use, closes the silent ones and asks about the quiet ones. One
// connection at a time asks about all of them, so that a silent path costs the server few connections.
func (s *server) checkSilence(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.pool.now()
	quiet := make(map[*upstreamConn]progress)
	for u, w := range s.inUse {
		switch w.observe(now, u.conn.sample()) {
		case verdictQueryServer:
			quiet[u] = w.lastProgress
		case verdictSilent:
			s.closeSilent(u, w)
		}
	}
	ending := len(s.ending) > 0 && now >= s.terminateAt
	if s.querying || len(quiet) == 0 && !ending {
		return
	}
	s.querying = true
	var sessions []dbgroup.Session
	if ending {
		sessions, s.ending = s.ending, nil
	}
	go func() {
		s.terminate(ctx, sessions)
		s.queryStalled(ctx, quiet)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.querying = false
	}()
}

// terminate has the server end sessions whose connections were closed as silent. It may not notice their end
// itself for hours, and they hold locks and connections meanwhile.
func (s *server) terminate(ctx context.Context, sessions []dbgroup.Session) {
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
	s.terminateAt = s.pool.now() + s.pool.cfg.StallTimeout
}

// closeSilent closes a silent connection and the idle ones that have not worked since the server said
// that it executes nothing for it: what silences one connection, as a firewall that lost its state,
// mostly silences all that it knew. It may have happened at any moment before.
func (s *server) closeSilent(u *upstreamConn, w *silenceDetector) {
	u.conn.closeSilent()
	delete(s.inUse, u)
	s.ending = append(s.ending, u.session())
	s.closeIdleBefore(s.pool.origin.Add(w.closeAt - w.limits.grace))
	s.pool.lastSilentAt.Store(int64(s.pool.now()))
	if s.pool.cfg.OnSilent != nil {
		s.pool.cfg.OnSilent(s.address, u.pid)
	}
}

// needsCheck reports whether an idle connection is checked before use: it has rested for long, or a
// connection to any server turned out to be silent since its last use.
func (p *Pool) needsCheck(u *upstreamConn) bool {
	suspect := p.origin.Add(time.Duration(p.lastSilentAt.Load()))
	return time.Since(u.lastUsed) >= p.cfg.CheckAfter || u.lastUsed.Before(suspect)
}

// closeIdleBefore closes the idle connections last used before a moment. The lock is held.
func (s *server) closeIdleBefore(before time.Time) {
	kept := s.idle[:0]
	for _, u := range s.idle {
		if u.lastUsed.Before(before) {
			u.close()
			s.ending = append(s.ending, u.session())
			continue
		}
		kept = append(kept, u)
	}
	clear(s.idle[len(kept):])
	s.idle = kept
}

// queryStalled asks the server about the quiet connections.
func (s *server) queryStalled(ctx context.Context, quiet map[*upstreamConn]progress) {
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
		if w := s.inUse[u]; w != nil {
			w.serverReplied(now, asked, err != nil || executing[u.session()])
		}
	}
}
