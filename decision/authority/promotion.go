package authority

import (
	"cmp"
	"slices"
	"time"
)

// attempt is an attempt to fence a majority at a term and to promote one server.
type attempt struct {
	term         uint64
	reason       Reason
	startedAt    time.Duration
	asked        map[ServerID]bool
	fenced       map[ServerID]ServerState
	failed       map[ServerID]bool
	excluded     ServerID // leaving or isolated primary that is not to be promoted
	othersAsked  bool     // the first server has accepted and all others were asked
	hasMajority  bool
	majorityAt   time.Duration
	target       ServerID // promoted server; never changes within a term
	promoting    bool     // a promotion is not answered yet
	promoteTries int
}

// maxPromoteTries bounds the tries of a promotion that is refused or not answered.
const maxPromoteTries = 3

// decide advances the running attempt, or begins one if there is a reason to promote.
func (m *Machine) decide(now time.Duration) []Action {
	m.trackPrimary(now)
	m.trackOpenFence(now)
	m.trackStranded(now)
	m.trackSwitchover(now)
	m.trackIsolated(now)
	if m.attempt != nil {
		return m.advanceAttempt(now)
	}
	reason, ok := m.reason(now)
	if !ok {
		m.scheduled = scheduledAttempt{}
		return nil
	}
	if m.scheduled.reason == "" {
		m.scheduled = scheduledAttempt{reason: reason, at: now + m.randomDelay(m.timings.Jitter)}
	}
	if now < m.scheduled.at || now < m.retryAt {
		return nil
	}
	m.scheduled = scheduledAttempt{}
	return m.beginAttempt(now, reason)
}

func (m *Machine) randomDelay(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(m.rand.Int63n(int64(limit)))
}

// beginAttempt starts an attempt by fencing one server. All instances ask the same server first, so
// that only one of several competing instances proceeds to fence the others.
func (m *Machine) beginAttempt(now time.Duration, reason Reason) []Action {
	fence, _ := m.view.highestFence()
	m.lastTerm = max(m.view.Term, fence, m.lastTerm) + 1
	a := &attempt{
		term:      m.lastTerm,
		reason:    reason,
		startedAt: now,
		asked:     map[ServerID]bool{},
		fenced:    map[ServerID]ServerState{},
		failed:    map[ServerID]bool{},
	}
	first := m.firstToFence(now)
	switch reason {
	case ReasonLeaving:
		first = m.view.Primary
		a.excluded = m.excludedPrimary()
	case ReasonIsolated:
		// Its log may be the longest, but records that only it has were never confirmed by a majority.
		first, a.excluded = m.view.Primary, m.view.Primary
	}
	m.attempt = a
	return []Action{m.fence(first)}
}

// maxSwitchovers is how often a leaving primary may be promoted again because it had writes that no
// other server had. After that it is excluded, which may drop writes acknowledged in ModePrimary.
const maxSwitchovers = 3

// excludedPrimary counts an attempt to replace the leaving primary and returns the primary once there
// have been more than maxSwitchovers.
func (m *Machine) excludedPrimary() ServerID {
	m.switchovers++
	if m.switchovers <= maxSwitchovers {
		return ""
	}
	return m.view.Primary
}

func (m *Machine) firstToFence(now time.Duration) ServerID {
	var first ServerID
	for i := range m.view.Servers {
		s := &m.view.Servers[i]
		if s.Reachable(now, m.timings.SuspectAfter) && (first == "" || s.ID < first) {
			first = s.ID
		}
	}
	return first
}

func (m *Machine) fence(id ServerID) Action {
	m.attempt.asked[id] = true
	return Fence{Server: id, Term: m.attempt.term}
}

func (m *Machine) fenceAccepted(now time.Duration, e FenceAccepted) {
	a := m.attempt
	if a == nil || e.Term != a.term || e.State.FenceTerm != a.term || e.State.FenceOwner != m.owner || !e.State.Fenced() {
		return
	}
	a.fenced[e.Server] = e.State
	if !a.hasMajority && len(a.fenced) >= m.majority() {
		a.hasMajority, a.majorityAt = true, now
	}
}

func (m *Machine) fenceFailed(now time.Duration, e FenceFailure) {
	a := m.attempt
	m.markUrgent(e.Server)
	if a == nil || e.Term != a.term {
		return
	}
	a.failed[e.Server] = true
	if !a.othersAsked || len(m.view.Servers)-len(a.failed) < m.majority() {
		m.failAttempt(now)
	}
}

func (m *Machine) promoteAccepted(now time.Duration, e PromoteAccepted) {
	m.markUrgent(e.Server)
	if a := m.attempt; a != nil && e.Term == a.term {
		m.attempt, m.failedAttempts = nil, 0
		m.retryAt = now + m.timings.AttemptTimeout
	}
}

func (m *Machine) promoteFailed(now time.Duration, e PromoteFailure) {
	m.markUrgent(e.Server)
	a := m.attempt
	if a == nil || e.Term != a.term {
		return
	}
	a.promoting = false
	a.promoteTries++
	if a.promoteTries >= maxPromoteTries {
		m.failAttempt(now)
	}
}

// failAttempt ends the attempt and backs off, longer after each consecutive failure.
func (m *Machine) failAttempt(now time.Duration) {
	m.attempt = nil
	limit := m.timings.Backoff << min(m.failedAttempts, maxBackoffShift)
	limit = min(limit, m.timings.MaxBackoff)
	m.retryAt = now + limit/4 + m.randomDelay(limit)
	m.failedAttempts++
}

// maxBackoffShift prevents an overflow of the doubled delay.
const maxBackoffShift = 16

// advanceAttempt performs the next step of the running attempt.
func (m *Machine) advanceAttempt(now time.Duration) []Action {
	a := m.attempt
	fence, _ := m.view.highestFence()
	switch {
	case m.view.Term >= a.term || fence > a.term:
		m.endAttempt(now)
		return nil
	case now-a.startedAt >= m.timings.AttemptTimeout:
		m.failAttempt(now)
		return nil
	case a.promoting:
		return nil
	case a.target != "":
		return m.promote()
	case !a.othersAsked:
		return m.fenceOthers()
	case a.hasMajority && m.fencingComplete(now):
		a.target = m.successor()
		return m.promote()
	}
	return nil
}

// endAttempt ends an attempt whose outcome a probe has shown.
func (m *Machine) endAttempt(now time.Duration) {
	if m.view.Term >= m.attempt.term {
		m.attempt, m.failedAttempts = nil, 0
		return
	}
	m.failAttempt(now)
}

// fenceOthers fences the other servers once the first one has accepted the fence.
func (m *Machine) fenceOthers() []Action {
	a := m.attempt
	if len(a.fenced) == 0 {
		return nil
	}
	a.othersAsked = true
	var out []Action
	for i := range m.view.Servers {
		if id := m.view.Servers[i].ID; !a.asked[id] {
			out = append(out, m.fence(id))
		}
	}
	return out
}

// fencingComplete reports whether no further server is expected to accept the fence soon, or the grace
// period has passed.
func (m *Machine) fencingComplete(now time.Duration) bool {
	a := m.attempt
	if now-a.majorityAt >= m.fenceGrace() {
		return true
	}
	for i := range m.view.Servers {
		s := &m.view.Servers[i]
		_, fenced := a.fenced[s.ID]
		if !fenced && !a.failed[s.ID] && !s.Failing {
			return false
		}
	}
	return true
}

// fenceGrace returns how long the attempt waits for servers beyond the majority: longer when a primary
// is to be excluded, because the others then have to form a majority.
func (m *Machine) fenceGrace() time.Duration {
	if m.attempt.excluded != "" {
		return m.timings.AttemptTimeout / 2
	}
	return m.timings.FenceGrace
}

// promote orders the promotion of the target, and repeats it after a failure. The target is chosen once
// per term: another one would be a second primary of the term.
func (m *Machine) promote() []Action {
	a := m.attempt
	a.promoting = true
	return []Action{Promote{Server: a.target, Term: a.term, Reason: a.reason}}
}

// successor returns the fenced server with the highest (term, LSN). Ties are broken in favor of a server
// that is not leaving, then of the current primary, then of the first by name.
func (m *Machine) successor() ServerID {
	candidates := m.candidates()
	best := slices.MaxFunc(candidates, func(a, b *ServerView) int {
		p, q := m.attempt.fenced[a.ID].Position(), m.attempt.fenced[b.ID].Position()
		return cmp.Or(
			p.Compare(q),
			compareBool(b.Leaving, a.Leaving),
			compareBool(a.ID == m.view.Primary, b.ID == m.view.Primary),
			cmp.Compare(b.ID, a.ID),
		)
	})
	return best.ID
}

// candidates returns the fenced servers, without the excluded primary if the others still form a
// majority: any majority contains every write confirmed in ModeMajority.
func (m *Machine) candidates() []*ServerView {
	a := m.attempt
	_, excludedFenced := a.fenced[a.excluded]
	excludePrimary := excludedFenced && len(a.fenced)-1 >= m.majority()
	var out []*ServerView
	for i := range m.view.Servers {
		s := &m.view.Servers[i]
		if _, fenced := a.fenced[s.ID]; !fenced || (excludePrimary && s.ID == a.excluded) {
			continue
		}
		out = append(out, s)
	}
	return out
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// MajorityLost reports whether the servers that are not suspected are too few for any proof.
func (m *Machine) MajorityLost(now time.Duration) bool {
	unsuspected := len(m.view.Servers)
	for i := range m.view.Servers {
		if m.Suspected(now, &m.view.Servers[i]) {
			unsuspected--
		}
	}
	return unsuspected < m.majority()
}

// PromotionWait returns the minimum time until another server may be promoted in place of a primary
// that does not answer; 0 if that may happen at once or the primary answers.
func (m *Machine) PromotionWait(now time.Duration) time.Duration {
	primary := m.view.PrimaryView()
	if primary == nil || !primary.Failing {
		return 0
	}
	wait := primary.FailingSince + m.timings.SuspectAfter - now
	if m.replicaHasContact(now) && m.Suspected(now, primary) {
		wait = m.abandonedWait(now, primary)
	}
	if m.damped(now, primary) {
		wait = max(wait, m.view.PrimarySince+m.timings.Damping-now)
	}
	return max(wait, 0)
}

// deadlines returns the times at which the result of decide may change without an event.
func (m *Machine) deadlines() []time.Duration {
	out := []time.Duration{m.scheduled.at, m.retryAt, m.openFence.until}
	if a := m.attempt; a != nil {
		out = append(out, a.startedAt+m.timings.AttemptTimeout)
		if a.hasMajority {
			out = append(out, a.majorityAt+m.fenceGrace())
		}
	}
	return out
}
