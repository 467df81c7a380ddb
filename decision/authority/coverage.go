package authority

import "time"

// AdoptionTime exceeds the sum of the time within which all instances that serve callers have adopted a
// new manifest, 19 s, and the time that a write may then wait for its confirmation, 5 s.
const AdoptionTime = 30 * time.Second

// Coverage decides when samples have to cover writes that are acknowledged by the primary alone
// (ModePrimary), and when such acknowledgements are allowed. Instances adopt a manifest at different
// times, so one may acknowledge in ModePrimary while another's samples don't consider it yet. Samples
// therefore cover such writes for the whole time in which any instance may acknowledge them, and the
// writes are acknowledged only once the samples of all instances cover them.
//
// The zero value is for a database without such writes.
type Coverage struct {
	enabled   bool
	adoptedAt time.Duration // when all instances will have adopted the last change
}

// NewCoverage returns the coverage for the first manifest in which a process sees a database. changed is
// true if that manifest has just replaced another one, so that other instances may not have adopted it;
// otherwise it has been in force elsewhere before.
func NewCoverage(now time.Duration, enabled, changed bool) Coverage {
	c := Coverage{enabled: enabled}
	if changed {
		c.adoptedAt = now + AdoptionTime
	}
	return c
}

// Set updates whether a route of the current manifest acknowledges in ModePrimary.
func (c *Coverage) Set(now time.Duration, enabled bool) {
	if enabled == c.enabled {
		return
	}
	c.enabled = enabled
	c.adoptedAt = now + AdoptionTime
}

// Required reports whether samples have to cover writes acknowledged in ModePrimary.
func (c *Coverage) Required(now time.Duration) bool {
	return c.enabled || now < c.adoptedAt
}

// PrimaryAckAllowed reports whether a write may be acknowledged in ModePrimary; otherwise ModeMajority
// has to be used.
func (c *Coverage) PrimaryAckAllowed(now time.Duration) bool {
	return c.enabled && now >= c.adoptedAt
}
