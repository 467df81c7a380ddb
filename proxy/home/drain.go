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

// loans counts the checkouts under way, so that a drain can wait for them.
type loans struct {
	none chan struct{} // closed when leaving and the last checkout has ended

	mu      sync.Mutex
	leaving bool
	overdue bool // the drain timeout has passed: loans end between two statements
	open    int  // checkouts, waiting or granted
	granted map[*loan]struct{}
}

func newLoans() *loans {
	return &loans{none: make(chan struct{}), granted: make(map[*loan]struct{})}
}

// begin counts a checkout, or returns false while this instance leaves.
func (l *loans) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return false
	}
	l.open++
	return true
}

func (l *loans) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.checkNone()
}

func (l *loans) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return
	}
	l.leaving = true
	l.checkNone()
}

// checkNone is called with the lock held.
func (l *loans) checkNone() {
	if l.leaving && l.open == 0 {
		close(l.none)
	}
}

func (l *loans) add(o *loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granted[o] = struct{}{}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.over = l.overdue
}

func (l *loans) remove(o *loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.granted, o)
}

// endBetweenStatements ends the loans that are between two statements, the others after their
// present one.
func (l *loans) endBetweenStatements() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overdue = true
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
		case <-s.loans.none:
			return nil
		case <-timer.C:
			s.loans.endBetweenStatements()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// endOverdue ends the loan now if it is between two statements, otherwise after the present one.
func (l *loan) endOverdue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = true
	if l.between {
		_ = l.stream.Close()
	}
}

// endStatement gives the slot back between two statements.
func (l *loan) endStatement() error {
	l.using.Lock()
	defer l.using.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil
	}
	l.conn.EndStatement()
	l.between = true
	if l.over {
		return errDrained
	}
	return nil
}

// beginStatement takes a slot again.
func (l *loan) beginStatement(timeout time.Duration) error {
	if err := l.leaveBetween(); err != nil {
		return err
	}
	if err := l.takeSlot(timeout); err != nil {
		return sendRefused(l.stream, err)
	}
	return l.stream.Send(granted(0))
}

func (l *loan) leaveBetween() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return errDrained
	}
	l.between = false
	return nil
}

func (l *loan) takeSlot(timeout time.Duration) error {
	l.using.Lock()
	defer l.using.Unlock()
	conn := l.current()
	if conn == nil {
		return errors.New("the loan has ended")
	}
	return conn.BeginStatement(l.stream.Context(), timeout)
}

func notHome(reason string) *homepb.FromHome {
	return &homepb.FromHome{Body: &homepb.FromHome_Refused{Refused: &homepb.Refused{
		Code:    outcome.CodeCannotConnectNow,
		Message: reason,
		Remedy:  "retry; the next instance holds the server's connections",
		Leaving: true,
	}}}
}
