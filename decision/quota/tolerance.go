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
	// startsPerWindow is how many starts of one owner within a window its share of the tolerance
	// covers. A restarted process does not know what the process before it has used.
	startsPerWindow = 2
	// maxToleranceRank is the rank from which an owner has no share.
	maxToleranceRank = 8
)

// perStart returns what all owners together may admit after one of the starts in a window.
func (t Tolerance) perStart(l Limits) float64 {
	window := l.Rate*t.Window.Seconds() + l.Burst
	return (t.Overage*window + t.Slack) / startsPerWindow
}

// ownerShare returns how many statements per window the pool owner of the given rank may admit for an account beyond its limits.
// The first one may use half of it, each further one half of the one before: they may act at the same time.
func (t Tolerance) ownerShare(l Limits, rank int) int {
	if t.Window <= 0 || rank >= maxToleranceRank {
		return 0
	}
	return int(math.Ldexp(t.perStart(l), -rank-1))
}

// ToleranceBudget admits statements of one account within the operator's tolerance while it is
// unknown whether the account has tokens: fractions are quarantined after instances were lost or
// restarted, or buckets have just begun empty. Without it, a failure of instances would refuse accounts
// that are well within their rate.
//
// Each owner uses its share without coordination; together they stay within the tolerance. Owners are ranked by the list of
// instances alone, which doesn't change when an instance stops, is lost or starts again. An owner that was removed from the list
// and its successor count as two that both believe to be the first. Load: all instances of a fleet restart
// at once and callers return while no fraction is usable yet. An equal share for each instance would be none from about 30 on.
type ToleranceBudget struct {
	used []time.Duration // admission times within the window, oldest first
}

// Take admits up to n statements while fewer than share were admitted in the window, and returns how many.
func (b *ToleranceBudget) Take(now, window time.Duration, share, n int) int {
	for len(b.used) > 0 && now-b.used[0] >= withClockMargin(window) {
		b.used = b.used[1:]
	}
	n = max(0, min(n, share-len(b.used)))
	for range n {
		b.used = append(b.used, now)
	}
	return n
}
