package fairqueue

import "time"

const (
	// overloadDelay is how long a server must refuse statements before it counts as overloaded.
	overloadDelay = time.Second
	// overloadGap is the time without a refusal that ends an overload.
	overloadGap = 500 * time.Millisecond
)

// Overload tells when a queue has refused requests for overloadDelay, and when that has ended. The zero value is not
// overloaded.
type Overload struct {
	refused      bool // at least once
	since, last  time.Duration
	isOverloaded bool
}

// Refused records the refusal of a request.
func (o *Overload) Refused(now time.Duration) {
	if !o.refused || now-o.last > overloadGap {
		o.since = now
	}
	o.refused, o.last = true, now
}

// Step reports whether an overload has begun or ended since the last call. Call it several times a second.
func (o *Overload) Step(now time.Duration) (began, ended bool) {
	lasts := o.refused && now-o.last <= overloadGap
	switch {
	case o.isOverloaded && !lasts:
		o.isOverloaded, ended = false, true
	case !o.isOverloaded && lasts && now-o.since >= overloadDelay:
		o.isOverloaded, began = true, true
	}
	return began, ended
}
