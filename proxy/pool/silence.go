package pool

import (
	"context"
	"time"

	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// silenceCheckInterval is the interval between two checks of the connections in use.
const silenceCheckInterval = 250 * time.Millisecond

// Run detects and closes silent connections until ctx ends.
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

// trackInUse starts silence detection for a connection.
func (s *server) trackInUse(u *upstreamConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse[u] = &silenceDetector{limits: silenceLimits{stall: s.pool.cfg.StallTimeout, grace: s.pool.cfg.ResponseGrace}}
}

// checkSilence samples the connections in use, closes the silent ones and queries the server about the
// stalled ones. All of them are queried over one connection at a time, so that a silent path costs the
// server few connections.
func (s *server) checkSilence(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.pool.now()
	stalled := make(map[*upstreamConn]progress)
	for u, d := range s.inUse {
		switch d.observe(now, u.conn.sample()) {
		case verdictQueryServer:
			stalled[u] = d.lastProgress
		case verdictSilent:
			s.closeSilent(u, d)
		}
	}
	terminateDue := len(s.toTerminate) > 0 && now >= s.terminateAt
	if s.querying || len(stalled) == 0 && !terminateDue {
		return
	}
	s.querying = true
	var sessions []dbgroup.Session
	if terminateDue {
		sessions, s.toTerminate = s.toTerminate, nil
	}
	go func() {
		s.terminate(ctx, sessions)
		s.queryStalled(ctx, stalled)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.querying = false
	}()
}

// terminate makes the server end sessions whose connections were closed as silent. The server itself may
// not notice for hours, while the sessions hold locks and connections. Failures are retried.
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
	s.toTerminate = append(s.toTerminate, sessions...)
	s.terminateAt = s.pool.now() + s.pool.cfg.StallTimeout
}

// closeSilent closes a silent connection and the idle ones not used since the server reported that it
// executes nothing for the silent one. The cause of the silence, such as a firewall that lost its state,
// usually affects all existing connections, and it may have occurred at any time before. s.mu must be held.
func (s *server) closeSilent(u *upstreamConn, d *silenceDetector) {
	u.conn.closeSilent()
	delete(s.inUse, u)
	s.toTerminate = append(s.toTerminate, u.session())
	s.closeIdleBefore(s.pool.origin.Add(d.closeAt - d.limits.grace))
	s.pool.lastSilentAt.Store(int64(s.pool.now()))
	if s.pool.cfg.OnSilent != nil {
		s.pool.cfg.OnSilent(s.address, u.pid)
	}
}

// needsCheck reports whether an idle connection must be checked before use: it has been idle for
// CheckAfter, or a connection to any server was detected as silent since its last use.
func (p *Pool) needsCheck(u *upstreamConn) bool {
	lastSilent := p.origin.Add(time.Duration(p.lastSilentAt.Load()))
	return time.Since(u.lastUsed) >= p.cfg.CheckAfter || u.lastUsed.Before(lastSilent)
}

// closeIdleBefore closes the idle connections last used before the given time. s.mu must be held.
func (s *server) closeIdleBefore(before time.Time) {
	kept := s.idle[:0]
	for _, u := range s.idle {
		if u.lastUsed.Before(before) {
			u.close()
			s.toTerminate = append(s.toTerminate, u.session())
			continue
		}
		kept = append(kept, u)
	}
	clear(s.idle[len(kept):])
	s.idle = kept
}

// queryStalled asks the server whether it executes statements for the stalled connections.
func (s *server) queryStalled(ctx context.Context, stalled map[*upstreamConn]progress) {
	if len(stalled) == 0 {
		return
	}
	sessions := make([]dbgroup.Session, 0, len(stalled))
	for u := range stalled {
		sessions = append(sessions, u.session())
	}
	ctx, cancel := context.WithTimeout(ctx, s.pool.cfg.ConnectTimeout)
	defer cancel()
	executing, err := s.pool.cfg.Executing(ctx, s.address, sessions)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.pool.now()
	for u, atQuery := range stalled {
		if d := s.inUse[u]; d != nil {
			d.serverReplied(now, atQuery, err != nil || executing[u.session()])
		}
	}
}
