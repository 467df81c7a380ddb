package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/connlimit"
)

// returningConns are the connections of one account to a server that finish a rollback and then become idle, and
// the statements that wait for them. The pool's mutex guards it.
type returningConns struct {
	count   int
	waiting []chan *upstreamConn // gets nil if a connection was not reusable
}

// usageFor returns the usage for a statement of an account. A statement doesn't overtake those that wait already.
func (sp *serverPool) usageFor(account string) connlimit.Usage {
	usage := sp.usage
	if r := sp.returning[account]; r != nil && len(sp.waiters) == 0 {
		usage.Returning = r.count - len(r.waiting)
	}
	return usage
}

// beginReturn announces that a connection becomes idle soon. endReturn must follow.
func (p *pool) beginReturn(u *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sp := u.pool
	if sp.returning[u.account] == nil {
		sp.returning[u.account] = &returningConns{}
	}
	sp.returning[u.account].count++
}

// endReturn hands a connection to the first statement that expects it, or else releases it.
func (p *pool) endReturn(u *upstreamConn, reuse bool) {
	sp := u.pool
	p.mu.Lock()
	r := sp.returning[u.account]
	r.count--
	var expecting chan *upstreamConn
	if len(r.waiting) > 0 {
		expecting, r.waiting = r.waiting[0], r.waiting[1:]
	}
	if r.count == 0 {
		delete(sp.returning, u.account)
	}
	handOver := expecting != nil && reuse && !sp.retired
	p.mu.Unlock()
	if handOver {
		expecting <- u
		return
	}
	if expecting != nil {
		close(expecting)
	}
	p.release(u, reuse)
}

// expectReturn enqueues a statement for a returning connection. The pool's mutex must be held.
func (sp *serverPool) expectReturn(account string) chan *upstreamConn {
	returned := make(chan *upstreamConn, 1)
	r := sp.returning[account]
	r.waiting = append(r.waiting, returned)
	return returned
}

// awaitReturn waits for the connection of expectReturn. It returns nil if there is none in time.
func (p *pool) awaitReturn(ctx context.Context, sp *serverPool, account string, returned chan *upstreamConn) *upstreamConn {
	timer := time.NewTimer(connlimit.ReturnTimeout)
	defer timer.Stop()
	select {
	case u := <-returned:
		return u
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	r := sp.returning[account]
	i := -1
	if r != nil {
		i = slices.Index(r.waiting, returned)
	}
	if i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
	p.mu.Unlock()
	if i >= 0 {
		return nil
	}
	return <-returned // endReturn has taken it off the queue
}
