package quota

import "time"

// Bucket is a token bucket whose rate and capacity change with the fractions in it. A part of its
// capacity can be reserved for tokens that may return; the refill never uses that part. The zero
// Bucket is empty and has no rate.
type Bucket struct {
	level    float64       // tokens
	reserved float64       // tokens
	rate     float64       // tokens per second
	capacity float64       // tokens
	at       time.Duration // of the last refill
}

// Configure refills the bucket up to now, then sets its rate and capacity. Tokens above the new
// capacity are lost.
func (b *Bucket) Configure(now time.Duration, rate, capacity float64) {
	b.Advance(now)
	b.rate, b.capacity = rate, capacity
	b.trim()
}

// Advance refills the bucket up to now. A time before the last refill changes nothing.
func (b *Bucket) Advance(now time.Duration) {
	if now <= b.at {
		return
	}
	b.level += b.rate * (now - b.at).Seconds()
	b.at = now
	b.trim()
}

func (b *Bucket) trim() {
	b.level = max(0, min(b.level, b.capacity-b.reserved))
}

// Level returns the tokens as of the last refill.
func (b *Bucket) Level() float64 {
	return b.level
}

// Take removes n tokens if the bucket has them.
func (b *Bucket) Take(n float64) bool {
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// Drain removes all tokens and returns their number.
func (b *Bucket) Drain() float64 {
	n := b.level
	b.level = 0
	return n
}

// Add adds tokens that were removed from another bucket, or that return from the reserved capacity.
// Tokens above the capacity are lost.
func (b *Bucket) Add(n float64) {
	b.level += n
	b.trim()
}

// Reserve changes the reserved capacity by n, which may be negative.
func (b *Bucket) Reserve(n float64) {
	b.reserved = max(0, b.reserved+n)
	b.trim()
}
