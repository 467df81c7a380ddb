package quota

import (
	"slices"
	"time"
)

const (
	// slotWidth groups draws, so that unused tokens can name the draw they came from.
	slotWidth = 50 * time.Millisecond
	// slotTerm is how long a draw's tokens keep their room in the bucket: their lifetime and
	// the time until the next request of their holder.
	slotTerm = 2 * MaxTokenLifetime
)

// pool is the bucket of one account at an owner, and the draws whose tokens may be outstanding.
// Room is reserved for them, so that level and outstanding tokens together never exceed the
// capacity.
type pool struct {
	bucket   Bucket
	draws    []draw // by time of opening
	lastSlot uint64
}

// draw is the tokens that were granted within slotWidth.
type draw struct {
	slot   uint64
	opened time.Duration
	tokens float64 // whose fate is not known
	sealed bool    // its tokens don't return
}

// expiry returns when the tokens of a draw have neither use nor return to expect.
func (d draw) expiry() time.Duration {
	return d.opened + slotWidth + slotTerm
}

// advance refills the pool up to now. Draws that are too old for their tokens to return give
// their room free at the time at which they became too old.
func (p *pool) advance(now time.Duration) {
	for len(p.draws) > 0 && p.draws[0].expiry() <= now {
		p.bucket.Advance(p.draws[0].expiry())
		p.bucket.Reserve(-p.draws[0].tokens)
		p.draws = p.draws[1:]
	}
	p.bucket.Advance(now)
}

// configure sets rate and capacity. A lower capacity seals the draws: their tokens then lie in
// part in room that another bucket is about to refill, so they must not return here.
func (p *pool) configure(now time.Duration, rate, capacity float64) {
	p.advance(now)
	if capacity < p.bucket.capacity {
		for i := range p.draws {
			p.draws[i].sealed = true
		}
	}
	p.bucket.Configure(now, rate, capacity)
}

// draw takes up to n whole tokens and returns their number and slot.
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

// applySettled frees the room of tokens whose fate is known and takes unused ones back.
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
