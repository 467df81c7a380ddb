package quota

import "time"

// Tolerance is what an operator lets an account use beyond its limits. The zero value allows
// nothing.
type Tolerance struct {
	Window  time.Duration // in which statements are counted
	Overage float64       // proportion of what the limits allow in a window
	Slack   float64       // statements per window
}

// startsPerWindow is how many starts of one instance within a window its share of the tolerance
// covers. A restarted process does not know what the process before it has used.
const startsPerWindow = 2

// share returns how many statements per window one of the given number of instances may admit for
// an account beyond its limits.
func (t Tolerance) share(l Limits, instances int) int {
	if t.Window <= 0 {
		return 0
	}
	window := l.Rate*t.Window.Seconds() + l.Burst
	return int((t.Overage*window + t.Slack) / float64(startsPerWindow*max(instances, 1)))
}

// ToleranceBudget admits statements of one account within the operator's tolerance while it is
// unknown whether the account has tokens: its owner does not answer, or fractions are quarantined
// after instances were lost or restarted. Without it, a failure of instances would refuse accounts
// that are well within their rate.
//
// Each instance uses its share without coordination; together they stay within the tolerance.
type ToleranceBudget struct {
	used []time.Duration // admission times within the window, oldest first
}

// Take admits a statement if the share of this instance has not been used up.
func (b *ToleranceBudget) Take(now time.Duration, t Tolerance, l Limits, instances int) bool {
	for len(b.used) > 0 && now-b.used[0] >= withClockMargin(t.Window) {
		b.used = b.used[1:]
	}
	if len(b.used) >= t.share(l, instances) {
		return false
	}
	b.used = append(b.used, now)
	return true
}
