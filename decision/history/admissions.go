package history

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// roundingSlack is the tolerance, in statements, for rounding errors in sums of rates and times.
const roundingSlack = 1e-6

// admission is one admitted statement. It was admitted at an unknown time between sent and answered.
type admission struct {
	sent, answered time.Duration
}

func (c *checker) checkAdmissions(h History) {
	byAccount := make(map[string][]admission)
	for _, e := range h.Events {
		if e.Kind == Admitted {
			byAccount[e.Account] = append(byAccount[e.Account], admission{e.Sent, e.At})
		}
	}
	for _, account := range slices.Sorted(maps.Keys(h.Limits)) {
		worst, ok := worstWindow(byAccount[account], h.Limits[account])
		if ok {
			worst.Account = account
			c.violations = append(c.violations, worst)
		}
	}
}

// worstWindow returns the window that exceeds the limit by the most, or false if no window exceeds it.
func worstWindow(list []admission, limit Limit) (OverAdmitted, bool) {
	slices.SortFunc(list, func(a, b admission) int { return cmp.Compare(a.answered, b.answered) })
	exact := !slices.ContainsFunc(list, func(a admission) bool { return a.sent != a.answered })
	if exact {
		return worstOfExactTimes(list, limit)
	}
	return worstOfIntervals(list, limit)
}

// worstOfExactTimes takes admissions with exact times, sorted by time. The level of a leaky bucket
// that drains at the rate equals the maximum of count - rate*length over all windows that end at the
// current admission, so one pass covers all windows.
func worstOfExactTimes(list []admission, limit Limit) (OverAdmitted, bool) {
	var worst OverAdmitted
	excess := roundingSlack
	level, last, start, first := 0.0, time.Duration(0), time.Duration(0), 0
	for i, a := range list {
		level -= limit.Rate * (a.answered - last).Seconds()
		if i == 0 || level <= 0 {
			level, start, first = 0, a.answered, i
		}
		level++
		last = a.answered
		if level-limit.Burst > excess {
			excess = level - limit.Burst
			worst = limit.window(start, last, i-first+1)
		}
	}
	return worst, excess > roundingSlack
}

func (l Limit) window(from, to time.Duration, admitted int) OverAdmitted {
	return OverAdmitted{From: from, To: to, Admitted: admitted, Allowed: l.Burst + l.Rate*(to-from).Seconds()}
}

// worstOfIntervals takes admissions sorted by answer time, each admitted at an unknown time between
// sent and answered. A window counts only the admissions whose whole interval lies within it. The
// function goes through the window ends in order; a tree holds count + rate*start for each window
// start.
func worstOfIntervals(list []admission, limit Limit) (OverAdmitted, bool) {
	starts := make([]time.Duration, len(list))
	for i, a := range list {
		starts[i] = a.sent
	}
	slices.Sort(starts)
	starts = slices.Compact(starts)
	values := make([]float64, len(starts))
	for i, start := range starts {
		values[i] = limit.Rate * start.Seconds()
	}
	tree := newMaxTree(values)

	var worst OverAdmitted
	excess := roundingSlack
	for _, a := range list {
		i, _ := slices.BinarySearch(starts, a.sent)
		tree.addUpTo(i)
		from, total := tree.max()
		overLimit := total - limit.Rate*a.answered.Seconds() - limit.Burst
		if overLimit > excess {
			excess = overLimit
			admitted := int(math.Round(total - limit.Rate*starts[from].Seconds()))
			worst = limit.window(starts[from], a.answered, admitted)
		}
	}
	return worst, excess > roundingSlack
}

// maxTree is a segment tree over a list of numbers that adds 1 to a prefix and returns the maximum,
// both in logarithmic time. A number is included in the maximum once addUpTo was called with its index.
type maxTree struct {
	size      int       // number of leaves, a power of two
	values    []float64 // initial numbers, without additions
	maxima    []float64 // maximum of each subtree, without the additions at its ancestors
	additions []float64 // amount added to the whole subtree
	maxLeaf   []int     // index of the leaf that holds the maximum of the subtree
}

func newMaxTree(values []float64) *maxTree {
	size := 1
	for size < len(values) {
		size *= 2
	}
	t := &maxTree{size: size, values: values, maxima: make([]float64, 2*size), additions: make([]float64, 2*size), maxLeaf: make([]int, 2*size)}
	for node := range t.maxima {
		t.maxima[node] = math.Inf(-1)
	}
	for i := range size {
		t.maxLeaf[size+i] = i
	}
	return t
}

func (t *maxTree) update(node int) {
	best := 2 * node
	if t.maxima[best+1] > t.maxima[best] {
		best++
	}
	t.maxima[node] = t.maxima[best] + t.additions[node]
	t.maxLeaf[node] = t.maxLeaf[best]
}

// addUpTo adds 1 to the numbers at indexes 0 to i.
func (t *maxTree) addUpTo(i int) {
	node := t.size + i
	t.addToNode(node)
	t.maxima[node] = t.values[i] + t.additions[node]
	for node > 1 {
		if node%2 == 1 {
			t.addToNode(node - 1)
		}
		node /= 2
		t.update(node)
	}
}

func (t *maxTree) addToNode(node int) {
	t.maxima[node]++
	t.additions[node]++
}

func (t *maxTree) max() (leaf int, value float64) {
	return t.maxLeaf[1], t.maxima[1]
}
