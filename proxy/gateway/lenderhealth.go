package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/suspicion"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// signOfLifeTimeout is how long a lender that answers nothing has to give a sign of life. It may have to accept a new
	// connection for it.
	signOfLifeTimeout = 400 * time.Millisecond
	// suspectDuration is how long a lender that did not answer is skipped.
	suspectDuration = 2 * time.Second
)

// suspect is a lender that does not answer, or that can't reach a server.
type suspect struct {
	lender string // empty for this instance
	server string // empty: all servers
}

// suspected reports whether an instance recently did not answer or could not reach a server.
func (b *borrower) suspected(address, server string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspectedLocked(address, server)
}

// suspectedLocked is suspected for a caller that holds mu.
func (b *borrower) suspectedLocked(address, server string) bool {
	now := b.now()
	return b.suspects.Contains(now, suspect{lender: address}) || b.suspects.Contains(now, suspect{lender: address, server: server})
}

func (b *borrower) suspect(s suspect) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.Add(b.now(), s, suspectDuration)
}

// recordUnreached records that a lender can't reach a server, which another lender may reach. A server that is down is not its
// lenders' fault: if each of them were skipped in turn, a primary that comes and goes would have many schedulers at a time. Load:
// a primary that is down for 0.7 of each 1.4 s, with statements of 60 instances.
func (b *borrower) recordUnreached(address, server string, err error) {
	var notSent *notSentError
	var noAnswer *noAnswerError
	if errors.As(err, &notSent) && !notSent.noFreeConnection && !notSent.lenderReaches || errors.As(err, &noAnswer) && noAnswer.lender == "" && !noAnswer.lenderReaches {
		b.suspect(suspect{lender: address, server: server})
	}
}

// watch observes the call to a lender that begins now. If the lender answers nothing for a while, neither this call nor others,
// it is asked for a sign of life. If it gives none, later statements go to other lenders and lost is called. The call ends with
// the function that watch returns.
func (b *borrower) watch(address string, lost func()) (ended func(answered bool)) {
	if b.ask == nil {
		return func(bool) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	timer := time.AfterFunc(suspicion.SilenceTerm, func() {
		for b.answers(ctx, address) {
			if !wait.For(ctx, suspicion.SilenceTerm) {
				return
			}
		}
		if ctx.Err() == nil {
			lost()
		}
	})
	return func(answered bool) {
		timer.Stop()
		cancel()
		if answered {
			b.mu.Lock()
			b.silence.Heard(b.now(), address)
			b.mu.Unlock()
		}
	}
}

// answers reports whether a lender to which a call is open counts as alive, and asks it if need be. The question goes on when the
// call has ended, since its answer serves other calls.
func (b *borrower) answers(ctx context.Context, address string) bool {
	b.mu.Lock()
	suspected := b.suspectedLocked(address, "")
	mustAsk := !suspected && b.silence.MustAsk(b.now(), address)
	b.mu.Unlock()
	if !mustAsk {
		return !suspected
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), signOfLifeTimeout)
	defer cancel()
	answered := b.ask(ctx, address)
	if !answered {
		b.conns.DiscardConns(address)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silence.Asked(b.now(), address, answered)
	if !answered {
		b.suspects.Add(b.now(), suspect{lender: address}, suspectDuration) // in the same step, so that no other call asks again
	}
	return answered
}
