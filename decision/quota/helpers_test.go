package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// boundCheck checks the bound in linear time: a bucket of the account's rate and burst has a token
// for every admission if and only if every window keeps burst + rate*w.
type boundCheck struct {
	limits  Limits
	level   float64
	at      time.Duration
	started bool
}

// admit records an admission and returns by how many tokens it exceeds the bound, or 0.
func (c *boundCheck) admit(at time.Duration) float64 {
	if !c.started {
		c.started, c.level, c.at = true, c.limits.Burst, at
	}
	c.level = min(c.limits.Burst, c.level+c.limits.Rate*(at-c.at).Seconds()) - 1
	c.at = at
	return max(0, -c.level-1e-6)
}
