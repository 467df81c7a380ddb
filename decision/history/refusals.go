package history

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// RefusedWithinLimit counts, for each account with a limit, the refused statements that its rate
// and burst would have allowed in addition to the admitted ones. The count measures the quality of
// service and is not a violation. Each statement is counted at the time of its answer.
func RefusedWithinLimit(h History) map[string]int {
	byAccount := make(map[string][]Event)
	for _, e := range h.Events {
		if e.Kind == Admitted || e.Kind == Refused {
			byAccount[e.Account] = append(byAccount[e.Account], e)
		}
	}
	refused := make(map[string]int)
	for account, limit := range h.Limits {
		refused[account] = limit.refusedWithin(byAccount[account])
	}
	return refused
}

// refusedWithin simulates a token bucket that refills at the rate. Each admission takes a token. A
// refusal is counted, and takes a token too, if one is available.
func (l Limit) refusedWithin(events []Event) int {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	refused, tokens, last := 0, l.Burst, time.Duration(0)
	for _, e := range events {
		tokens = math.Min(l.Burst, tokens+l.Rate*(e.At-last).Seconds())
		last = e.At
		switch {
		case e.Kind == Admitted:
			tokens--
		case tokens >= 1-roundingSlack:
			tokens--
			refused++
		}
	}
	return refused
}
