package quota

import (
	"math"
	"time"
)

// Tolerance is what an operator lets an account use beyond its limits. The zero value allows
// nothing.
type Tolerance struct {
	Window  time.Duration // in which statements are counted
	Overage float64       // proportion of what the limits allow in a window
	Slack   float64       // statements per window
}

const (
	// startsPerWindow is how many starts of one instance within a window its share of the tolerance
	// covers. A restarted process does not know what the process before it has used.
	startsPerWindow = 2
	// maxToleranceRank is the rank from which an owner has no share.
	maxToleranceRank = 8
	// listDifference is the factor by which the lists of two instances may differ in length. Instances and owners must not use
	// the tolerance of one account at the same time.
	listDifference = 2
)

// perInstance returns how many statements per window each of the given number of instances may admit for an account beyond its
// limits, and 0 if the number is not known.
func (t Tolerance) perInstance(l Limits, instances int) float64 {
	if t.Window <= 0 || instances <= 0 {
		return 0
	}
	return t.perStart(l) / float64(instances)
}

// perStart returns what all instances together may admit after one of the starts in a window.
func (t Tolerance) perStart(l Limits) float64 {
	window := l.Rate*t.Window.Seconds() + l.Burst
	return (t.Overage*window + t.Slack) / startsPerWindow
}

// ownerShare returns how many statements per window the pool owner of the given rank may admit for an account beyond its limits.
// In a fleet with more instances than tolerated statements an equal share is none, so the owners use the tolerance instead. The
// first one may use half of it, each further one half of the one before: they may act at the same time.
func (t Tolerance) ownerShare(l Limits, instances, rank int) int {
	share := t.perInstance(l, instances)
	if share <= 0 || share >= 1.0/listDifference || rank >= maxToleranceRank {
		return 0
	}
	return int(math.Ldexp(t.perStart(l), -rank-1))
}

// ToleranceBudget admits statements of one account within the operator's tolerance while it is
// unknown whether the account has tokens: its owner does not answer, or fractions are quarantined
// after instances were lost or restarted. Without it, a failure of instances would refuse accounts
// that are well within their rate.
//
// Each instance, or each owner, uses its share without coordination; together they stay within the tolerance. Load: all
// instances of a fleet restart at once and callers return while no fraction is usable yet; then buckets begin empty.
type ToleranceBudget struct {
	used []time.Duration // admission times within the window, oldest first
}

// Take admits a statement if the share of this one of the given number of instances has not been used up.
func (b *ToleranceBudget) Take(now time.Duration, t Tolerance, l Limits, instances int) bool {
	return b.takeOf(now, t.Window, int(t.perInstance(l, instances)), 1) == 1
}

// takeOf admits up to n statements while fewer than share were admitted in the window, and returns how many.
func (b *ToleranceBudget) takeOf(now, window time.Duration, share, n int) int {
	for len(b.used) > 0 && now-b.used[0] >= withClockMargin(window) {
		b.used = b.used[1:]
	}
	n = max(0, min(n, share-len(b.used)))
	for range n {
		b.used = append(b.used, now)
	}
	return n
}
