package home

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/home/homepb"
)

// errDrained ends a loan whose borrower keeps a transaction open beyond the drain timeout.
var errDrained = errors.New("the drain timeout of the home instance has passed; run the transaction again")

// loanTracker counts the checkouts under way, so that a drain can wait for them.
type loanTracker struct {
	drained chan struct{} // closed when leaving and the last checkout has ended

	mu           sync.Mutex
	leaving      bool
	drainOverdue bool // the drain timeout has passed: loans end between two statements
	active       int  // checkouts, waiting or granted
	granted      map[*loan]struct{}
}

func newLoanTracker() *loanTracker {
	return &loanTracker{drained: make(chan struct{}), granted: make(map[*loan]struct{})}
}

// tryBegin counts a checkout, or returns false while this instance leaves.
func (l *loanTracker) tryBegin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return false
	}
	l.active++
	return true
}

func (l *loanTracker) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active--
	l.closeIfDrained()
}

func (l *loanTracker) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return
	}
	l.leaving = true
	l.closeIfDrained()
}

// closeIfDrained is called with the lock held.
func (l *loanTracker) closeIfDrained() {
	if l.leaving && l.active == 0 {
		close(l.drained)
	}
}

func (l *loanTracker) add(o *loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granted[o] = struct{}{}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drainOverdue = l.drainOverdue
}

func (l *loanTracker) remove(o *loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.granted, o)
}

// endOverdue ends the loans that are between two statements, the others after their
// present one.
func (l *loanTracker) endOverdue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainOverdue = true
	for o := range l.granted {
		go o.endOverdue() // a borrower that does not read holds up its own loan only
	}
}

// Leave refuses further checkouts in a way that sends them to the next home. Loans go on.
func (s *Server) Leave() {
	s.loans.leave()
}

// Drain waits until all loans have ended. After timeout it ends those that are or come between two
// statements. When ctx ends first, its error is returned and the remaining loans go on until the
// peer listener is closed. Leave has to be called before.
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

// endOverdue ends the loan now if it is between two statements, otherwise after the present one.
func (l *loan) endOverdue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainOverdue = true
	if l.betweenStatements {
		_ = l.stream.Close()
	}
}

// endStatement gives the slot back between two statements.
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

// beginStatement takes a slot again.
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
