package authority

import "time"

// AdoptionTime is above the time within which all instances that serve callers have a new manifest in
// force, 19 s, and the time that a write may wait for its confirmation then, 5 s.
const AdoptionTime = 30 * time.Second

// Coverage decides how long after a change of the manifest samples cover writes that the primary alone
// acknowledged, and from when such acknowledgements are given. Instances adopt a manifest at different
// moments, so that one may acknowledge in ModePrimary while another's samples don't look for it. Samples
// therefore cover such writes as soon and for as long as any instance may acknowledge them, and they are
// acknowledged only when all samples cover them.
//
// The zero value stands for a database without such writes.
type Coverage struct {
	enabled   bool
	adoptedAt time.Duration // when all instances have adopted the last change
}

// NewCoverage returns the coverage by the first manifest of a process, which has been in force elsewhere
// before, or by one that has just changed.
func NewCoverage(now time.Duration, wanted, changed bool) Coverage {
	c := Coverage{enabled: wanted}
	if changed {
		c.adoptedAt = now + AdoptionTime
	}
	return c
}

// Set takes over whether a route of the manifest in force acknowledges in ModePrimary.
func (c *Coverage) Set(now time.Duration, wanted bool) {
	if wanted == c.enabled {
		return
	}
	c.enabled = wanted
	c.adoptedAt = now + AdoptionTime
}

// Required reports whether samples have to cover such writes.
func (c *Coverage) Required(now time.Duration) bool {
	return c.enabled || now < c.adoptedAt
}

// PrimaryAckAllowed reports whether a write may be acknowledged in ModePrimary; else it takes ModeMajority.
func (c *Coverage) PrimaryAckAllowed(now time.Duration) bool {
	return c.enabled && now >= c.adoptedAt
}
