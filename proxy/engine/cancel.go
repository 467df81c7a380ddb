package engine

import (
	"context"
	"crypto/subtle"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// cancelTimeout bounds the delivery of a cancel request to a server.
const cancelTimeout = 2 * time.Second

// handleCancel forwards a caller's cancel request to the session that it names. A wrong secret is
// ignored silently, as PostgreSQL does.
func (s *Server) handleCancel(r *pgproto3.CancelRequest) {
	s.mu.Lock()
	sess := s.sessions[r.ProcessID]
	s.mu.Unlock()
	if sess == nil || subtle.ConstantTimeCompare(sess.secret[:], r.SecretKey) != 1 {
		return
	}
	sess.cancelStatement()
}

// cancelStatement cancels the statement in execution, or its wait for a server. cancelMu keeps the
// connection from being released meanwhile, so that the request can't reach a statement of another
// session.
func (s *session) cancelStatement() {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	s.mu.Lock()
	up, stopWaiting := s.activeUpstream, s.cancelWait
	if s.transmitted {
		stopWaiting = nil // the wait for the confirmation of a sent statement goes on
	}
	s.mu.Unlock()
	if up != nil {
		up.cancel()
		return
	}
	if stopWaiting != nil {
		stopWaiting(errCanceled())
	}
}

// attach makes up the target of cancel requests. If the session was killed, up fails at once.
func (s *session) attach(up *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeUpstream = up
	s.transmitted = true
	if s.killErr != nil {
		_ = up.SetDeadline(pastDeadline)
	}
}

// detach removes the target of cancel requests, after waiting for a request being delivered.
func (s *session) detach() {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeUpstream = nil
}

// cancel asks the server to cancel the running statement. The connection is not reused, because the
// request may arrive after the statement has ended.
func (u *upstream) cancel() {
	u.tainted.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = u.Cancel(ctx)
}
