package authority

import (
	"slices"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// Mode tells what a waiter waits for.
type Mode int

const (
	// ModeMajority waits until a majority shows the term unfenced and the primary's position.
	ModeMajority Mode = iota + 1
	// ModePrimary waits until a majority shows the term unfenced and the primary its position.
	ModePrimary
	// ModeAuthority waits until a majority shows the term unfenced.
	ModeAuthority
	// ModeSample waits for a floor that covers every write confirmed before the wait began.
	ModeSample
)

// WaiterID names a waiter; the driver gives it out.
type WaiterID uint64

// Waiter asks for a proof. Server and Incarnation are used by the two confirming modes, Term by
// all but ModeSample.
type Waiter struct {
	ID          WaiterID
	Mode        Mode
	After       Seq // last sequence number given out when the waiter arrived
	Server      ServerID
	Term        uint64
	Incarnation uint64
	Passive     bool // orders no probes, but is resolved by those that are due
}

// Resolution ends a wait.
type Resolution struct {
	ID   WaiterID
	Mode Mode
	// Proven is false when the waiter can't be proven any more.
	Proven bool
	// Position is the confirmed position or the sampled floor; unset in ModeAuthority.
	Position position.Position
	// AuthorityProven tells that a majority showed Term unfenced in probes sent after the wait began.
	AuthorityProven bool
	Term            uint64
}

// DefaultSampleGrace is how long a sample waits for servers beyond the majority. More answers
// give a lower floor, which more replicas reach; a silent server must not hold reads up.
const DefaultSampleGrace = 2 * time.Millisecond

// Confirmations resolves waiters from probe results.
type Confirmations struct {
	// SampleGrace bounds the wait of a sample for servers beyond the majority.
	SampleGrace time.Duration
	// CoverPrimary makes samples wait for the primary's own position. It is needed when writes
	// are acknowledged in ModePrimary, because only the primary is sure to have them.
	CoverPrimary bool

	servers      []ServerID
	highestFence []uint64 // highest fence or term seen, by server
	failing      []bool
	lastStatus   []serverStatus // by server
	waiters      []*waiter
}

// serverStatus is what a server's last answer says about the height of its next one.
type serverStatus struct {
	position position.Position
	primary  bool
}

type waiter struct {
	Waiter
	limitKnown  bool // limit is known
	limit       position.Position
	satisfied   []bool // by server: met the condition in a probe that counts
	answers     []ServerState
	answered    []bool
	majorityAt  time.Duration
	hasMajority bool
}

// NewConfirmations returns a Confirmations for a group.
func NewConfirmations(servers []ServerID) *Confirmations {
	return &Confirmations{
		SampleGrace:  DefaultSampleGrace,
		servers:      slices.Clone(servers),
		highestFence: make([]uint64, len(servers)),
		failing:      make([]bool, len(servers)),
		lastStatus:   make([]serverStatus, len(servers)),
	}
}

// Demand returns what the unresolved waiters need.
func (c *Confirmations) Demand() Demand {
	demand := DemandNone
	for _, w := range c.waiters {
		switch {
		case w.Passive:
		case w.Mode != ModeSample || c.CoverPrimary:
			return DemandAll
		default:
			demand = DemandSample
		}
	}
	return demand
}

// Add begins a wait. It is resolved at once if it can't be proven any more.
func (c *Confirmations) Add(w Waiter) []Resolution {
	n := len(c.servers)
	added := &waiter{Waiter: w, satisfied: make([]bool, n), answers: make([]ServerState, n), answered: make([]bool, n)}
	if c.unprovable(added) {
		return []Resolution{{ID: w.ID, Mode: w.Mode}}
	}
	c.waiters = append(c.waiters, added)
	return nil
}

// Cancel ends a wait without a resolution.
func (c *Confirmations) Cancel(id WaiterID) {
	c.waiters = slices.DeleteFunc(c.waiters, func(w *waiter) bool { return w.ID == id })
}

// Failed tells that a probe of the server failed, so that samples don't wait for it.
func (c *Confirmations) Failed(now time.Duration, id ServerID) []Resolution {
	i := slices.Index(c.servers, id)
	if i < 0 {
		return nil
	}
	c.failing[i] = true
	return c.resolve(now)
}

// Observe counts a probe result for every waiter that arrived before the probe was ordered.
func (c *Confirmations) Observe(now time.Duration, r ProbeResult) []Resolution {
	i := slices.Index(c.servers, r.State.Server)
	if i < 0 {
		return nil
	}
	c.failing[i], c.lastStatus[i] = false, serverStatus{r.State.Position(), r.State.Role == RolePrimary}
	c.highestFence[i] = max(c.highestFence[i], r.State.FenceTerm, r.State.Term)
	for _, w := range c.waiters {
		if r.Seq > w.After {
			w.record(i, r.State)
		}
	}
	return c.resolve(now)
}

// Advance resolves samples whose grace has passed.
func (c *Confirmations) Advance(now time.Duration) []Resolution {
	return c.resolve(now)
}

// NextDeadline returns when Advance may next resolve a waiter; ok is false when time alone won't.
func (c *Confirmations) NextDeadline(now time.Duration) (next time.Duration, ok bool) {
	for _, w := range c.waiters {
		at := w.majorityAt + c.SampleGrace
		if w.Mode != ModeSample || !w.hasMajority || at <= now {
			continue
		}
		if !ok || at < next {
			next, ok = at, true
		}
	}
	return next, ok
}

func (c *Confirmations) resolve(now time.Duration) []Resolution {
	var out []Resolution
	kept := c.waiters[:0]
	for _, w := range c.waiters {
		r, done := c.evaluate(now, w)
		if done {
			out = append(out, r)
			continue
		}
		kept = append(kept, w)
	}
	clear(c.waiters[len(kept):])
	c.waiters = kept
	return out
}

func (c *Confirmations) evaluate(now time.Duration, w *waiter) (Resolution, bool) {
	if w.Mode == ModeSample {
		return c.evaluateSample(now, w)
	}
	if w.proven(Majority(len(c.servers))) {
		return Resolution{ID: w.ID, Mode: w.Mode, Proven: true, Position: w.limit, AuthorityProven: true, Term: w.Term}, true
	}
	return Resolution{ID: w.ID, Mode: w.Mode}, c.unprovable(w)
}

// unprovable reports whether no further probe can prove the waiter: too few servers are left
// that either have shown the condition or may still show the term unfenced.
func (c *Confirmations) unprovable(w *waiter) bool {
	if w.Mode == ModeSample {
		return false
	}
	possible := 0
	for i := range c.servers {
		superseded := c.highestFence[i] > w.Term
		if w.satisfied[i] || !superseded {
			possible++
		}
		if c.servers[i] == w.Server && w.needsLimit() && superseded {
			return true
		}
	}
	return possible < Majority(len(c.servers)) || w.limitUnobtainable()
}

// record notes what server i shows for the waiter.
func (w *waiter) record(i int, s ServerState) {
	w.answers[i], w.answered[i] = s, true
	if w.Mode == ModeSample {
		return
	}
	w.setLimit(s)
	if s.Term != w.Term || s.FenceTerm > w.Term {
		return
	}
	switch w.Mode {
	case ModeMajority:
		w.satisfied[i] = w.satisfied[i] || (w.limitKnown && s.LSN >= w.limit.LSN)
		w.recheckAnswers()
	default:
		w.satisfied[i] = true
	}
}

// setLimit takes the primary's first counted position as the upper bound of the waiter's writes.
func (w *waiter) setLimit(s ServerState) {
	if !w.needsLimit() || s.Server != w.Server || !w.fromPrimary(s) {
		return
	}
	w.limitKnown, w.limit = true, s.Position()
}

// fromPrimary reports whether s was shown by the run of the primary that answered the write.
// After a restart the write is not taken for kept, because that would rest on the server's disk.
func (w *waiter) fromPrimary(s ServerState) bool {
	return s.Role == RolePrimary && s.Term == w.Term && !s.Fenced() && s.Incarnation == w.Incarnation
}

// recheckAnswers counts answers that came before the primary's.
func (w *waiter) recheckAnswers() {
	if !w.limitKnown {
		return
	}
	for i, s := range w.answers {
		if w.answered[i] && s.Term == w.Term && s.FenceTerm <= w.Term && s.LSN >= w.limit.LSN {
			w.satisfied[i] = true
		}
	}
}

func (w *waiter) needsLimit() bool {
	return (w.Mode == ModeMajority || w.Mode == ModePrimary) && !w.limitKnown
}

// limitUnobtainable reports that the primary has answered in another run or role, so that the bound of
// the write can't be learnt any more.
func (w *waiter) limitUnobtainable() bool {
	if !w.needsLimit() {
		return false
	}
	for i, s := range w.answers {
		if w.answered[i] && s.Server == w.Server && !w.fromPrimary(s) {
			return true
		}
	}
	return false
}

func (w *waiter) proven(majority int) bool {
	if w.needsLimit() {
		return false
	}
	return countTrue(w.satisfied) >= majority
}

// evaluateSample resolves a sample once a majority has answered and every further server has
// answered, is failing, can't lower the floor or had its grace.
func (c *Confirmations) evaluateSample(now time.Duration, w *waiter) (Resolution, bool) {
	answered := countTrue(w.answered)
	if answered < Majority(len(c.servers)) {
		return Resolution{}, false
	}
	if !w.hasMajority {
		w.hasMajority, w.majorityAt = true, now
	}
	floor := sampledFloor(w, len(c.servers))
	if !c.sampleComplete(w, floor) && now-w.majorityAt < c.SampleGrace {
		return Resolution{}, false
	}
	if c.CoverPrimary {
		p, ok := w.primaryPosition()
		if !ok {
			return Resolution{}, false
		}
		floor = position.Max(floor, p)
	}
	r := Resolution{ID: w.ID, Mode: w.Mode, Proven: true, Position: floor, Term: w.highestTerm()}
	r.AuthorityProven = w.countUnfenced(r.Term) >= Majority(len(c.servers))
	return r, true
}

func (c *Confirmations) sampleComplete(w *waiter, floor position.Position) bool {
	for i := range c.servers {
		if !w.answered[i] && !c.failing[i] && !c.expectedAtOrAbove(i, floor) {
			return false
		}
	}
	return true
}

// expectedAtOrAbove reports whether server i is expected to answer with floor or more, which doesn't lower a
// sample: it was there already, or it is the primary of the floor's term. Any majority gives a floor
// that holds, so that nothing but the height of the floor rests on it.
func (c *Confirmations) expectedAtOrAbove(i int, floor position.Position) bool {
	s := c.lastStatus[i]
	leads := s.primary && s.position.Term >= floor.Term
	return leads || !s.position.Less(floor)
}

// sampledFloor returns a position at or past every confirmed write. A confirmed write is on a
// majority of the n servers and missing servers may all have it, so at least
// majority - (n - answered) of the answers are at or past it; the lowest of that many highest
// answers therefore covers it.
func sampledFloor(w *waiter, n int) position.Position {
	var shown []position.Position
	for i, s := range w.answers {
		if w.answered[i] {
			shown = append(shown, s.Position())
		}
	}
	slices.SortFunc(shown, func(a, b position.Position) int { return b.Compare(a) })
	rank := Majority(n) - (n - len(shown))
	return shown[rank-1]
}

// primaryPosition returns the position of the primary of the highest term that the sample shows.
func (w *waiter) primaryPosition() (position.Position, bool) {
	term := w.highestTerm()
	for i, s := range w.answers {
		if w.answered[i] && s.Role == RolePrimary && s.Term == term && !s.Fenced() {
			return s.Position(), true
		}
	}
	return position.Position{}, false
}

func (w *waiter) highestTerm() uint64 {
	var term uint64
	for i, s := range w.answers {
		if w.answered[i] {
			term = max(term, s.Term)
		}
	}
	return term
}

// countUnfenced counts the answers that show term unfenced.
func (w *waiter) countUnfenced(term uint64) int {
	count := 0
	for i, s := range w.answers {
		if w.answered[i] && s.Term == term && s.FenceTerm <= term {
			count++
		}
	}
	return count
}

func countTrue(flags []bool) int {
	n := 0
	for _, f := range flags {
		if f {
			n++
		}
	}
	return n
}
