package engine

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
)

// upstream is a connection to a server while a session uses it.
type upstream struct {
	Conn
	frontend      *pgproto3.Frontend
	target        Target
	caches        *connectionCaches
	stmts         *statementCache
	tainted       atomic.Bool // not reused after release
	deadlineSetAt time.Time   // when the progress deadline was last set
}

// errCallerGone is the reason to abort a statement whose caller has disconnected. Like a timeout, it leaves
// the statement running on the server.
var errCallerGone error = os.ErrDeadlineExceeded

func (s *Server) newUpstream(c Conn, t Target) *upstream {
	f := c.Frontend()
	f.SetMaxBodyLen(s.cfg.MaxResultMessageSize)
	return &upstream{Conn: c, frontend: f, target: t, caches: &s.statementCaches, stmts: s.statementCacheFor(c)}
}

// statementCacheFor returns the statement cache of a connection. A lent connection always gets an empty one,
// since each use may be on another connection to the server.
func (s *Server) statementCacheFor(c Conn) *statementCache {
	if _, lent := c.(LentConn); lent {
		return &statementCache{limit: s.cfg.UpstreamStatements}
	}
	return s.statementCaches.get(c.Frontend(), s.cfg.UpstreamStatements)
}

// queueWait returns the time that the relay spent in the queue of a lending instance.
func (u *upstream) queueWait() time.Duration {
	if lent, ok := u.Conn.(LentConn); ok {
		return lent.Waited()
	}
	return 0
}

// releaseIdle releases a connection that is idle and outside a transaction, for reuse unless it is tainted.
func (u *upstream) releaseIdle() {
	reuse := !u.tainted.Load()
	if reuse {
		reuse = u.SetDeadline(time.Time{}) == nil
	}
	if !reuse {
		u.caches.forget(u.frontend)
	}
	u.Release(reuse)
}

// drop closes the connection.
func (u *upstream) drop() {
	u.caches.forget(u.frontend)
	u.Release(false)
}

// abort closes a connection after err. A statement that may still be running on the server is cancelled
// first, in the background because that may take up to cancelTimeout.
func (u *upstream) abort(err error) {
	var timeout net.Error
	stillOpen := outcome.As(err) != nil || (errors.As(err, &timeout) && timeout.Timeout())
	if !stillOpen {
		u.drop()
		return
	}
	go func() {
		u.cancel()
		u.drop()
	}()
}
