package gateway

import (
	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
)

// A session belongs to the account that its key had when it began, with all that it holds: connections, its transaction, values,
// prepared statements, places in queues and answers under way. None of them is used for another account: once the key belongs to another
// one the session ends, and its transaction is rolled back unless COMMIT is on its way. This is checked before each statement is
// sent, and for a session that waits for its caller in a transaction when a configuration comes into force, or when this instance can't
// know any more whether there is a newer one.

var (
	errAccountChanged = outcome.New(outcome.NotRun, outcome.CodeRolledBack,
		"the key belongs to another account now; an open transaction was rolled back", "connect again and repeat the whole transaction")
	errRightUnknown = outcome.New(outcome.NotRun, outcome.CodeRolledBack,
		"the transaction was rolled back because this instance can't know whether the key is still valid", "repeat the whole transaction through another instance")
	// errUnauthorized reports that a caller lost its right to a statement that waited to be sent.
	errUnauthorized = errors.New("the key of the caller was withdrawn or given to another account while the statement waited")
)

// keyObjection returns why the session's key doesn't entitle it to go on with an open transaction, or nil. A route that was changed or
// removed applies from the next statement on.
func (sess *session) keyObjection() *outcome.Error {
	_, e := sess.authorize()
	return keyErrorOf(e)
}

// isAuthorized reports whether the session's key entitles it to have a statement sent now.
func (sess *session) isAuthorized() bool {
	return sess.keyObjection() == nil
}

// keyErrorOf returns e if it is about the caller's key, else nil.
func keyErrorOf(e *outcome.Error) *outcome.Error {
	switch e {
	case errWrongKey, errAccountChanged, errNotFresh:
		return e
	}
	return nil
}

// renewGrant applies the configuration in force to a statement that has waited, or may be tried again.
func (sess *session) renewGrant(t *tryState) *outcome.Error {
	grant, e := sess.authorize()
	if e == nil {
		t.grant.Homes = grant.Homes
	}
	return keyErrorOf(e)
}

// ConfigurationChanged ends what open sessions hold by a right that the configuration in force doesn't give them any more.
func (g *Gateway) ConfigurationChanged() {
	for _, sess := range g.openSessions(false) {
		if sess.hasLostAccount() {
			sess.stop(false)
		}
		sess.limitRead()
	}
}

// hasLostAccount reports whether the session's key belongs to another account by now.
func (sess *session) hasLostAccount() bool {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if !sess.started {
		return false
	}
	_, e := sess.authorize()
	return e == errAccountChanged
}

// endStaleTransactions ends the open transactions of idle sessions while this instance can't know whether their keys are still valid.
func (g *Gateway) endStaleTransactions() {
	if g.cfg.Directory.Current() == nil || g.cfg.Directory.Fresh() {
		return
	}
	for _, sess := range g.openSessions(false) {
		sess.limitRead()
	}
}

// endUnauthorizedTransaction rolls back a transaction whose session may not go on with it, and reports whether it did.
func (sess *session) endUnauthorizedTransaction() bool {
	if sess.tx == nil || sess.tx.conn == nil {
		return false
	}
	e := sess.keyObjection()
	if e == nil {
		return false
	}
	sess.gw.cfg.Log.transactionUnauthorized(sess, e)
	sess.rollBackOpen()
	sess.abortError = rolledBackFor(e)
	return true
}

// rolledBackFor returns the error for the first request after a transaction was rolled back because of e.
func rolledBackFor(e *outcome.Error) *outcome.Error {
	if e == errNotFresh {
		return errRightUnknown
	}
	return e
}
