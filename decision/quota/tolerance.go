package quota

import "time"

// Tolerance is what an operator allows an account beyond its limits. The zero value allows nothing.
type Tolerance struct {
	Window  time.Duration // over which the operator counts
	Overage float64       // part of what the limits allow in a window
	Slack   float64       // statements in a window
}

// startsPerWindow is how often one instance may start anew within a window without exceeding its part: what it has used
// before is forgotten with it.
const startsPerWindow = 2

// share is the part of one of the given number of instances in what the tolerance allows an account, in statements
// per window.
func (t Tolerance) share(l Limits, instances int) int {
	if t.Window <= 0 {
		return 0
	}
	window := l.Rate*t.Window.Seconds() + l.Burst
	return int((t.Overage*window + t.Slack) / float64(startsPerWindow*max(instances, 1)))
}

// ToleranceBudget admits statements of one account on the operator's tolerance, while it is not known whether the account
// has tokens: its owner does not answer, or fractions rest after instances were lost or started anew. Otherwise a
// failure of instances would refuse accounts that are well inside their rate.
//
// The instances use their parts without talking to each other, so that together they stay within the tolerance.
type ToleranceBudget struct {
	used []time.Duration // within the window, oldest first
}

// Take admits a statement if the part of this instance allows one more.
func (r *ToleranceBudget) Take(now time.Duration, t Tolerance, l Limits, instances int) bool {
	for len(r.used) > 0 && now-r.used[0] >= withClockMargin(t.Window) {
		r.used = r.used[1:]
	}
	if len(r.used) >= t.share(l, instances) {
		return false
	}
	r.used = append(r.used, now)
	return true
}
