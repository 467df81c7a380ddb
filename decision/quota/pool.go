package quota

import (
	"slices"
	"time"
)

const (
	// slotWidth is the time within which draws share a slot, by which unused tokens name the draw
	// that they came from.
	slotWidth = 50 * time.Millisecond
	// slotTerm is how long capacity stays reserved for a draw's tokens: their lifetime, and the
	// time until their requester sends its next request.
	slotTerm = 2 * MaxTokenLifetime
)

// pool is an owner's bucket for one account, with the draws whose tokens may be outstanding.
// Capacity is reserved for these tokens, so that level and outstanding tokens together never exceed
// the capacity.
type pool struct {
	bucket   Bucket
	draws    []draw // by time of opening, oldest first
	lastSlot uint64
}

// draw is the tokens granted within one slotWidth.
type draw struct {
	slot   uint64
	opened time.Duration
	tokens float64 // not yet reported as used or unused
	sealed bool    // its unused tokens no longer return to the pool
}

// expiry returns when tokens of the draw can no longer be used or returned.
func (d draw) expiry() time.Duration {
	return d.opened + slotWidth + slotTerm
}

// advance refills the pool up to now. The capacity reserved for an expired draw is released as of
// its expiry.
func (p *pool) advance(now time.Duration) {
	for len(p.draws) > 0 && p.draws[0].expiry() <= now {
		p.bucket.Advance(p.draws[0].expiry())
		p.bucket.Reserve(-p.draws[0].tokens)
		p.draws = p.draws[1:]
	}
	p.bucket.Advance(now)
}

// configure sets rate and capacity. A lower capacity seals the draws: part of the capacity reserved
// for their tokens has moved to another bucket, which refills it, so the tokens must not return to
// this pool.
func (p *pool) configure(now time.Duration, rate, capacity float64) {
	p.advance(now)
	if capacity < p.bucket.capacity {
		for i := range p.draws {
			p.draws[i].sealed = true
		}
	}
	p.bucket.Configure(now, rate, capacity)
}

// draw removes up to n whole tokens and returns their number and slot.
func (p *pool) draw(now time.Duration, n int) (int, uint64) {
	n = max(0, min(n, int(p.bucket.Level())))
	if n == 0 || !p.bucket.Take(float64(n)) {
		return 0, 0
	}
	p.bucket.Reserve(float64(n))
	last := len(p.draws) - 1
	if last < 0 || p.draws[last].sealed || now >= p.draws[last].opened+slotWidth {
		p.lastSlot++
		p.draws = append(p.draws, draw{slot: p.lastSlot, opened: now})
		last++
	}
	p.draws[last].tokens += float64(n)
	return n, p.lastSlot
}

// applySettled releases the capacity reserved for tokens that were reported as used or unused, and
// adds the unused ones to the pool.
func (p *pool) applySettled(s SettledTokens) {
	n := float64(s.Used + s.Unused)
	i := slices.IndexFunc(p.draws, func(d draw) bool { return d.slot == s.Slot })
	if i < 0 || p.draws[i].sealed || s.Used < 0 || s.Unused < 0 || p.draws[i].tokens < n {
		return
	}
	p.draws[i].tokens -= n
	p.bucket.Reserve(-n)
	p.bucket.Add(float64(s.Unused))
}
