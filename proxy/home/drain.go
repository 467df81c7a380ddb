package home

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/home/homepb"
)

// errDrained ends a loan whose borrower keeps a transaction open after the drain timeout.
var errDrained = errors.New("the drain timeout of the home instance has passed; run the transaction again")

// loanTracker tracks the checkouts in progress, so that a drain can wait for them.
type loanTracker struct {
	drained chan struct{} // closed when this instance is leaving and no checkout is in progress

	mu           sync.Mutex
	leaving      bool
	drainOverdue bool // the drain timeout has passed: loans end as soon as no statement runs
	active       int  // checkouts, both waiting and granted
	granted      map[*loan]struct{}
}

func newLoanTracker() *loanTracker {
	return &loanTracker{drained: make(chan struct{}), granted: make(map[*loan]struct{})}
}

// tryBegin counts a new checkout. It returns false if this instance is leaving.
func (t *loanTracker) tryBegin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return false
	}
	t.active++
	return true
}

func (t *loanTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	t.closeIfDrained()
}

func (t *loanTracker) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return
	}
	t.leaving = true
	t.closeIfDrained()
}

// closeIfDrained must be called with t.mu held.
func (t *loanTracker) closeIfDrained() {
	if t.leaving && t.active == 0 {
		close(t.drained)
	}
}

func (t *loanTracker) add(l *loan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.granted[l] = struct{}{}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainOverdue = t.drainOverdue
}

func (t *loanTracker) remove(l *loan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.granted, l)
}

// endOverdue ends the loans that execute no statement, and each other loan after its current
// statement.
func (t *loanTracker) endOverdue() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainOverdue = true
	for l := range t.granted {
		go l.endOverdue() // in parallel, so that a borrower that does not read delays only its own loan
	}
}

// Leave refuses further checkouts with Leaving set, so that borrowers try the next instance. Loans in
// progress continue.
func (s *Server) Leave() {
	s.loans.leave()
}

// Drain waits until all loans have ended. After timeout it ends each loan as soon as no statement of
// it runs. If ctx ends first, Drain returns its error, and the remaining loans continue until the peer
// listener is closed. Leave must be called first.
func (s *Server) Drain(ctx context.Context, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-s.loans.drained:
			return nil
		case <-timer.C:
			s.loans.endOverdue()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// endOverdue ends the loan at once if no statement runs, otherwise after the current statement.
func (l *loan) endOverdue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainOverdue = true
	if l.betweenStatements {
		_ = l.stream.Close()
	}
}

// endStatement releases the slot until the next statement.
func (l *loan) endStatement() error {
	l.slotMu.Lock()
	defer l.slotMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil
	}
	l.conn.EndStatement()
	l.betweenStatements = true
	if l.drainOverdue {
		return errDrained
	}
	return nil
}

// beginStatement acquires a slot again and sends Granted or Refused.
func (l *loan) beginStatement(timeout time.Duration) error {
	if err := l.markExecuting(); err != nil {
		return err
	}
	if err := l.reacquireSlot(timeout); err != nil {
		return sendRefused(l.stream, err)
	}
	return l.stream.Send(grantedMessage(0))
}

func (l *loan) markExecuting() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drainOverdue {
		return errDrained
	}
	l.betweenStatements = false
	return nil
}

func (l *loan) reacquireSlot(timeout time.Duration) error {
	l.slotMu.Lock()
	defer l.slotMu.Unlock()
	conn := l.currentConn()
	if conn == nil {
		return errors.New("the loan has ended")
	}
	return conn.BeginStatement(l.stream.Context(), timeout)
}

func notHomeMessage(reason string) *homepb.FromHome {
	return &homepb.FromHome{Body: &homepb.FromHome_Refused{Refused: &homepb.Refused{
		Code:    outcome.CodeCannotConnectNow,
		Message: reason,
		Remedy:  "retry; the next instance holds the server's connections",
		Leaving: true,
	}}}
}
