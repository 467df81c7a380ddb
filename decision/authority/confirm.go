package authority

import (
	"slices"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// Mode is the condition that a waiter waits for.
type Mode int

const (
	// ModeMajority waits until a majority shows the term unfenced and has reached the primary's
	// position.
	ModeMajority Mode = iota + 1
	// ModePrimary waits until a majority shows the term unfenced and the primary has shown its
	// position.
	ModePrimary
	// ModeAuthority waits until a majority shows the term unfenced.
	ModeAuthority
	// ModeSample waits for a floor that covers every write confirmed before the wait began.
	ModeSample
)

// WaiterID identifies a waiter; the driver assigns it.
type WaiterID uint64

// Waiter is a request for a proof. Server and Incarnation are used by ModeMajority and ModePrimary,
// Term by all modes but ModeSample.
type Waiter struct {
	ID          WaiterID
	Mode        Mode
	After       Seq // last probe sequence number assigned when the waiter arrived
	Server      ServerID
	Term        uint64
	Incarnation uint64
	Passive     bool // causes no probes of its own, but is resolved by scheduled ones
}

// Resolution is the result of a wait.
type Resolution struct {
	ID   WaiterID
	Mode Mode
	// Proven is false when the condition can no longer be proven.
	Proven bool
	// Position is the confirmed position or the sampled floor; unset in ModeAuthority.
	Position position.Position
	// AuthorityProven is set if a majority showed Term unfenced in probes sent after the wait began.
	AuthorityProven bool
	Term            uint64
}

// DefaultSampleGrace is how long a sample waits for servers beyond the majority. More answers
// give a lower floor, which more replicas reach; an unresponsive server must not delay reads.
const DefaultSampleGrace = 2 * time.Millisecond

// Confirmations resolves waiters from probe results.
type Confirmations struct {
	// SampleGrace limits how long a sample waits for servers beyond the majority.
	SampleGrace time.Duration
	// CoverPrimary makes samples wait for the primary's own position. It is required while writes
	// are acknowledged in ModePrimary, because only the primary is guaranteed to have them.
	CoverPrimary bool

	servers      []ServerID
	highestFence []uint64 // highest fence or term seen, by server
	failing      []bool
	lastStatus   []serverStatus // by server
	waiters      []*waiter
}

// serverStatus is the part of a server's last answer from which its next position is estimated.
type serverStatus struct {
	position position.Position
	primary  bool
}

type waiter struct {
	Waiter
	limitKnown  bool
	limit       position.Position // upper bound of the waiter's writes
	satisfied   []bool            // by server: met the condition in a probe ordered after the waiter arrived
	answers     []ServerState
	answered    []bool
	majorityAt  time.Duration
	hasMajority bool
}

// NewConfirmations returns a Confirmations for a database group.
func NewConfirmations(servers []ServerID) *Confirmations {
	return &Confirmations{
		SampleGrace:  DefaultSampleGrace,
		servers:      slices.Clone(servers),
		highestFence: make([]uint64, len(servers)),
		failing:      make([]bool, len(servers)),
		lastStatus:   make([]serverStatus, len(servers)),
	}
}

// Demand returns the probes that the unresolved waiters need.
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

// Add begins a wait. It is resolved at once if its condition can no longer be proven.
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

// Failed records that a probe of the server failed, so that samples don't wait for it.
func (c *Confirmations) Failed(now time.Duration, id ServerID) []Resolution {
	i := slices.Index(c.servers, id)
	if i < 0 {
		return nil
	}
	c.failing[i] = true
	return c.resolve(now)
}

// Observe applies a probe result to every waiter that arrived before the probe was ordered.
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

// Advance resolves samples whose grace period has passed.
func (c *Confirmations) Advance(now time.Duration) []Resolution {
	return c.resolve(now)
}

// NextDeadline returns when Advance may next resolve a waiter; ok is false if the passing of time alone
// resolves none.
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
	unresolved := c.waiters[:0]
	for _, w := range c.waiters {
		r, done := c.evaluate(now, w)
		if done {
			out = append(out, r)
			continue
		}
		unresolved = append(unresolved, w)
	}
	clear(c.waiters[len(unresolved):])
	c.waiters = unresolved
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

// unprovable reports whether no further probe can prove the waiter's condition: too few servers
// are left that either have satisfied it or may still show the term unfenced.
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

// record applies the state of server i to the waiter.
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

// setLimit sets the primary's first position shown after the waiter arrived as the upper bound of
// the waiter's writes.
func (w *waiter) setLimit(s ServerState) {
	if !w.needsLimit() || s.Server != w.Server || !w.fromPrimary(s) {
		return
	}
	w.limitKnown, w.limit = true, s.Position()
}

// fromPrimary reports whether s is a state of the primary in the incarnation that answered the
// write. After a restart the write is not assumed to be kept, because that would depend on the
// server's disk.
func (w *waiter) fromPrimary(s ServerState) bool {
	return s.Role == RolePrimary && s.Term == w.Term && !s.Fenced() && s.Incarnation == w.Incarnation
}

// recheckAnswers evaluates the answers that arrived before the primary's, now that the limit is known.
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

// limitUnobtainable reports whether the primary has answered in another incarnation or role, so that
// the upper bound of the write can no longer be determined.
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

// evaluateSample resolves a sample once a majority has answered and every other server has
// answered, is failing or isn't expected to lower the floor, or the grace period has passed. With
// CoverPrimary, the primary must have answered too.
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

// sampleComplete reports whether no outstanding answer is expected to lower floor.
func (c *Confirmations) sampleComplete(w *waiter, floor position.Position) bool {
	for i := range c.servers {
		if !w.answered[i] && !c.failing[i] && !c.expectedAtOrAbove(i, floor) {
			return false
		}
	}
	return true
}

// expectedAtOrAbove reports whether server i is expected to answer with a position at or above
// floor, which can't lower a sample: it has reached floor already, or it is the primary of the
// floor's term. The answers of any majority give a valid floor, so a wrong estimate makes the floor
// higher than necessary but never invalid.
func (c *Confirmations) expectedAtOrAbove(i int, floor position.Position) bool {
	s := c.lastStatus[i]
	leads := s.primary && s.position.Term >= floor.Term
	return leads || !s.position.Less(floor)
}

// sampledFloor returns a position at or past every confirmed write. A confirmed write is on a
// majority of the n servers, and the servers that have not answered may all have it, so at least
// majority - (n - answered) of the answers are at or past it. The answer of that rank, counted
// from the highest, therefore covers it.
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

// primaryPosition returns the position of the unfenced primary of the highest term in the answers.
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

// countUnfenced returns the number of answers that show term unfenced.
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
