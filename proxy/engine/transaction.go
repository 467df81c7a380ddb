package engine

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// rollbackTimeout bounds the rollback of a transaction whose session ended.
const rollbackTimeout = 2 * time.Second

// transaction is the open transaction of a session. The zero value means that none is open.
type transaction struct {
	up *upstream // its connection; no other session uses it
	// lost means that the connection failed, so that only the end of the transaction is accepted.
	lost bool
	// failed means that the proxy refused a statement of the transaction. Later statements are answered as
	// in a failed transaction of PostgreSQL, although the transaction has not failed on the server.
	failed bool
	status byte // last status reported by the server
}

func (t *transaction) active() bool {
	return t.up != nil || t.lost
}

// readyStatus returns the transaction status for ReadyForQuery.
func (s *session) readyStatus() byte {
	switch {
	case !s.tx.active():
		return statusIdle
	case s.tx.lost, s.tx.failed:
		return statusFailed
	}
	return s.tx.status
}

// bindTransaction reserves up for the session until the end of its transaction.
func (s *session) bindTransaction(up *upstream, status byte) {
	s.setTransaction(transaction{up: up, status: status, failed: s.tx.failed})
}

func (s *session) setTransaction(t transaction) {
	s.tx = t
	s.mu.Lock()
	s.inTx = t.active()
	s.mu.Unlock()
}

// endTransaction clears the transaction state; the connection stays as it is.
func (s *session) endTransaction() {
	s.setTransaction(transaction{})
	s.portals = nil
}

// markTransactionLost records that the connection of the transaction failed.
func (s *session) markTransactionLost() {
	s.setTransaction(transaction{lost: true})
	s.portals = nil
}

// abandonTransaction rolls back an open transaction and releases its connection for reuse, which is cheaper
// for the server than a new connection.
func (s *session) abandonTransaction() {
	up := s.tx.up
	s.endTransaction()
	if up == nil {
		return
	}
	if !up.rollback() {
		up.drop()
		return
	}
	up.releaseIdle()
}

// rollback rolls back on the server and reports whether the connection is idle afterwards.
func (u *upstream) rollback() bool {
	if u.SetDeadline(time.Now().Add(rollbackTimeout)) != nil {
		return false
	}
	return RunAndCheckIdle(u.frontend, "ROLLBACK")
}

// RunAndCheckIdle runs a query, discards its result and reports whether the connection is idle outside a
// transaction afterwards. The caller sets the deadline.
func RunAndCheckIdle(f *pgproto3.Frontend, sql string) bool {
	f.Send(&pgproto3.Query{String: sql})
	if f.Flush() != nil {
		return false
	}
	for {
		m, err := f.Receive()
		if err != nil {
			return false
		}
		if ready, ok := m.(*pgproto3.ReadyForQuery); ok {
			return ready.TxStatus == statusIdle
		}
	}
}
