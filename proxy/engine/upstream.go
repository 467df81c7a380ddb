package engine

import (
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// upstream is a connection to a server while a session uses it.
type upstream struct {
	Conn
	frontend *pgproto3.Frontend
	target   Target
	stmts    *statementCache
	tainted  atomic.Bool // not reused after release
	extended time.Time   // when the progress deadline was last set
}

func newUpstream(c Conn, t Target, cfg *Config) *upstream {
	f := c.Frontend()
	f.SetMaxBodyLen(cfg.MaxResultMessageSize)
	return &upstream{Conn: c, frontend: f, target: t, stmts: upstreamStatements.of(f, cfg.UpstreamStatements)}
}

// giveBack releases a connection that is idle and outside a transaction.
func (u *upstream) giveBack() {
	reuse := !u.tainted.Load()
	if reuse {
		reuse = u.SetDeadline(time.Time{}) == nil
	}
	if !reuse {
		upstreamStatements.forget(u.frontend)
	}
	u.Release(reuse)
}

// drop closes the connection.
func (u *upstream) drop() {
	upstreamStatements.forget(u.frontend)
	u.Release(false)
}

// abort cancels the statement that is still running on the server and closes the connection, in the
// background since the cancel request may take cancelTimeout.
func (u *upstream) abort() {
	go func() {
		u.cancel()
		u.drop()
	}()
}
