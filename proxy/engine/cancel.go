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
	n := s.sessions[r.ProcessID]
	s.mu.Unlock()
	if n == nil || subtle.ConstantTimeCompare(n.secret[:], r.SecretKey) != 1 {
		return
	}
	n.cancelStatement()
}

// cancelStatement cancels the statement in execution, or ends its wait for a server. The lock
// keeps the connection from being released meanwhile, so that the request can't reach a
// statement of another session.
func (n *session) cancelStatement() {
	n.cancelMu.Lock()
	defer n.cancelMu.Unlock()
	n.mu.Lock()
	up, stopWaiting := n.activeUpstream, n.cancelWait
	if n.transmitted {
		stopWaiting = nil // what was sent is to be confirmed
	}
	n.mu.Unlock()
	if up != nil {
		up.cancel()
		return
	}
	if stopWaiting != nil {
		stopWaiting(errCanceled())
	}
}

// attach makes up the target of cancel requests.
func (n *session) attach(up *upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.activeUpstream = up
	n.transmitted = true
	if n.killErr != nil {
		_ = up.SetDeadline(pastDeadline)
	}
}

// detach ends that, and waits for a cancel request under way.
func (n *session) detach() {
	n.cancelMu.Lock()
	defer n.cancelMu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.activeUpstream = nil
}

// cancel asks the server to cancel the running statement. The connection is not reused, because
// the request may arrive after the statement's end.
func (u *upstream) cancel() {
	u.tainted.Store(true)
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	_ = u.Cancel(ctx)
}
