package engine

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// rollbackTimeout bounds the rollback of a transaction whose session ended.
const rollbackTimeout = 2 * time.Second

// transaction is the open transaction of a session. The zero value is none.
type transaction struct {
	up *upstream // its connection; no other session uses it
	// lost means that the connection is gone, so that only the end of the transaction is accepted.
	lost bool
	// failed means that the proxy refused a statement of the transaction, so that it is answered
	// as PostgreSQL answers in a failed one although the server knows nothing of it.
	failed bool
	status byte // as the server last reported
}

func (t *transaction) active() bool {
	return t.up != nil || t.lost
}

// readyStatus is the status for ReadyForQuery.
func (n *session) readyStatus() byte {
	switch {
	case !n.tx.active():
		return statusIdle
	case n.tx.lost, n.tx.failed:
		return statusFailed
	}
	return n.tx.status
}

// bindTransaction keeps up for the session until the end of its transaction.
func (n *session) bindTransaction(up *upstream, status byte) {
	n.setTransaction(transaction{up: up, status: status, failed: n.tx.failed})
}

func (n *session) setTransaction(t transaction) {
	n.tx = t
	n.mu.Lock()
	n.inTx = t.active()
	n.mu.Unlock()
}

// endTransaction leaves the transaction without touching its connection.
func (n *session) endTransaction() {
	n.setTransaction(transaction{})
	n.portals = nil
}

// markTransactionLost notes that the connection is gone.
func (n *session) markTransactionLost() {
	n.setTransaction(transaction{lost: true})
	n.portals = nil
}

// abandonTransaction rolls an open transaction back and gives its connection back, which is
// cheaper for the server than a new connection.
func (n *session) abandonTransaction() {
	up := n.tx.up
	n.endTransaction()
	if up == nil {
		return
	}
	if !up.rollback() {
		up.drop()
		return
	}
	up.releaseIdle()
}

// rollback ends the transaction on the server and reports whether the connection is idle.
func (u *upstream) rollback() bool {
	if u.SetDeadline(time.Now().Add(rollbackTimeout)) != nil {
		return false
	}
	return RunAndCheckIdle(u.frontend, "ROLLBACK")
}

// RunAndCheckIdle runs a query whose answer matters to nobody, and reports whether the connection is idle
// outside a transaction afterwards. The caller sets the deadline.
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
