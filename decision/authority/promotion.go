package authority

import (
	"cmp"
	"slices"
	"time"
)

// Reason tells why an attempt to promote began.
type Reason string

const (
	// ReasonFailed: the primary answers nobody.
	ReasonFailed Reason = "primary_failed"
	// ReasonUnreachable: replicas hear the primary, this instance has not for a long time.
	ReasonUnreachable Reason = "primary_unreachable"
	// ReasonIsolated: the primary answers, but a majority of the servers have lost contact with it
	// for a long time, so that no write is confirmed.
	ReasonIsolated Reason = "primary_isolated"
	// ReasonMissing: no server says that it is the primary of the highest term.
	ReasonMissing Reason = "no_primary"
	// ReasonUnfinished: servers are fenced by an owner that has not promoted in time.
	ReasonUnfinished Reason = "promotion_unfinished"
	// ReasonStranded: the primary is healthy and a fence keeps another server from following it.
	ReasonStranded Reason = "server_stranded"
	// ReasonLeaving: the primary is to be emptied.
	ReasonLeaving Reason = "primary_leaving"
)

// attempt is one try to fence a majority at a term and to promote one server.
type attempt struct {
	term       uint64
	reason     Reason
	startedAt  time.Duration
	asked      map[ServerID]bool
	fenced     map[ServerID]ServerState
	failed     map[ServerID]bool
	avoid      ServerID // leaving or isolated primary that is left out of the choice
	spread     bool     // the first server accepted, all others were asked
	hasMajor   bool
	majorityAt time.Duration
	target     ServerID // promoted server; never changes within a term
	promoting  bool     // a promotion is not answered yet
	tries      int
}

// maxPromoteTries bounds the repeats of a promotion whose answer was lost.
const maxPromoteTries = 3

// decide looks for a reason to promote and drives the running attempt.
func (m *Machine) decide(now time.Duration) []Action {
	m.trackPrimary(now)
	m.trackRival(now)
	m.trackStranded(now)
	m.trackLeaving(now)
	m.trackIsolated(now)
	if m.attempt != nil {
		return m.drive(now)
	}
	reason, ok := m.reason(now)
	if !ok {
		m.due = due{}
		return nil
	}
	if m.due.reason == "" {
		m.due = due{reason: reason, at: now + m.random(m.t.Jitter)}
	}
	if now < m.due.at || now < m.retryAt {
		return nil
	}
	m.due = due{}
	return m.begin(now, reason)
}

func (m *Machine) random(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(m.rand.Int63n(int64(limit)))
}

func (m *Machine) trackPrimary(now time.Duration) {
	missing := m.view.Primary == ""
	if missing && !m.noPrimary {
		m.noPrimarySince = now
	}
	m.noPrimary = missing
}

// trackRival gives another owner's fence above the present term time to lead to a promotion.
func (m *Machine) trackRival(now time.Duration) {
	fence, at := m.view.highestFence()
	if fence <= m.view.Term {
		m.rival = rival{}
		return
	}
	if fence == m.rival.term {
		return
	}
	m.rival = rival{term: fence, until: now}
	if at.State.FenceOwner != m.owner {
		m.rival.until += m.t.AttemptTimeout/2 + m.random(m.t.Backoff)
	}
}

// trackStranded notes since when a server is fenced above the term of the primary.
func (m *Machine) trackStranded(now time.Duration) {
	stranded := m.view.Primary != "" && m.view.fencedAbove(m.view.Term) > 0
	if stranded && !m.stranded {
		m.strandedSince = now
	}
	m.stranded = stranded
}

// trackIsolated notes since when a majority of the servers have had no contact with a primary that
// answers this instance.
func (m *Machine) trackIsolated(now time.Duration) {
	isolated := m.unheard(now) >= m.majority()
	if isolated && !m.isolated {
		m.isolatedSince = now
	}
	m.isolated = isolated
}

// unheard counts the reachable replicas without recent contact with a primary that answers.
func (m *Machine) unheard(now time.Duration) int {
	primary := m.view.PrimaryView()
	if primary == nil || !primary.Reachable(now, m.t.SuspectAfter) {
		return 0
	}
	n := 0
	for i := range m.view.Servers {
		s := &m.view.Servers[i]
		replica := s.State.Role == RoleReplica && s.Reachable(now, m.t.SuspectAfter)
		if replica && s.contactAge(now) >= m.t.SuspectAfter {
			n++
		}
	}
	return n
}

// trackLeaving notes since when the primary is leaving while another server can take over.
func (m *Machine) trackLeaving(now time.Duration) {
	moving := m.Moving()
	if moving && !m.leaving {
		m.leavingSince = now
	}
	m.leaving = moving
	if primary := m.view.PrimaryView(); primary != nil && !primary.Leaving {
		m.moves = 0
	}
}

// Moving reports whether the primary is leaving and another server can take over. The driver then
// sends it no new writes, so that its successor reaches its last position before the promotion.
func (m *Machine) Moving() bool {
	primary := m.view.PrimaryView()
	return primary != nil && primary.Leaving && !primary.Failing && m.successorReady(primary)
}

// readyToMove reports whether a successor has the leaving primary's position. Instances that have
// not heard of the move yet may go on writing, so the wait is bounded.
func (m *Machine) readyToMove(now time.Duration) bool {
	if !m.leaving {
		return false
	}
	return m.caughtUp() || now-m.leavingSince >= m.t.SuspectAfter
}

// caughtUp reports whether a server that stays has reached the primary.
func (m *Machine) caughtUp() bool {
	primary := m.view.PrimaryView()
	return slices.ContainsFunc(m.view.Servers, func(s ServerView) bool {
		return m.follows(&s) && s.State.LSN >= primary.State.LSN
	})
}

// follows reports whether a server that stays has log of the present term.
func (m *Machine) follows(s *ServerView) bool {
	return !s.Leaving && s.Known && !s.Failing && s.State.Role == RoleReplica && s.State.Term == m.view.Term
}

// reason returns why an attempt should begin now.
func (m *Machine) reason(now time.Duration) (Reason, bool) {
	if m.reachable(now) < m.majority() {
		return "", false
	}
	if m.rival.term > 0 && now < m.rival.until {
		return "", false
	}
	primary := m.view.PrimaryView()
	unfenced := len(m.view.Servers) - m.view.fencedAbove(m.view.Term)
	switch {
	case m.rival.term > 0 && unfenced < m.majority():
		return ReasonUnfinished, true
	case primary == nil:
		return m.reasonWithoutPrimary(now)
	case primary.Failing:
		return m.reasonAgainst(now, primary)
	case m.stranded && now-m.strandedSince >= m.t.StrandedAfter:
		return ReasonStranded, true
	case m.readyToMove(now):
		return ReasonLeaving, true
	case m.isolated && now-m.isolatedSince >= m.t.UnreachableAfter && !m.damped(now, primary):
		return ReasonIsolated, true
	}
	return "", false
}

// reasonAgainst judges a primary that does not answer this instance.
func (m *Machine) reasonAgainst(now time.Duration, primary *ServerView) (Reason, bool) {
	silent := now - primary.FailingSince
	if !m.Suspected(now, primary) {
		return "", false
	}
	if m.damped(now, primary) {
		return "", false
	}
	if !m.heard(now) {
		return ReasonFailed, true
	}
	return ReasonUnreachable, silent >= m.t.UnreachableAfter
}

// Suspected reports whether a server has left enough probes over fresh connections unanswered.
func (m *Machine) Suspected(now time.Duration, s *ServerView) bool {
	return s.Failures >= DefaultSuspectProbes && now-s.FailingSince >= m.t.SuspectAfter
}

// damped reports whether the last promotion is too recent for another one.
func (m *Machine) damped(now time.Duration, primary *ServerView) bool {
	if !m.view.Succeeded || now-m.view.PrimarySince >= m.t.Damping {
		return false
	}
	refused := primary.Failures >= DefaultSuspectProbes && primary.Refused == primary.Failures
	return !refused
}

// heard reports whether a replica of the present term had contact with its primary lately.
func (m *Machine) heard(now time.Duration) bool {
	for i := range m.view.Servers {
		s := &m.view.Servers[i]
		if !s.Known || s.Failing || s.State.Role != RoleReplica || s.State.Term != m.view.Term {
			continue
		}
		if s.contactAge(now) < m.t.SuspectAfter {
			return true
		}
	}
	return false
}

// reasonWithoutPrimary judges a group in which no server says that it is the primary of the
// highest term. A server that never answered may be it.
func (m *Machine) reasonWithoutPrimary(now time.Duration) (Reason, bool) {
	missing := now - m.noPrimarySince
	if missing < m.t.SuspectAfter {
		return "", false
	}
	if missing >= m.t.UnreachableAfter {
		return ReasonMissing, true
	}
	return ReasonMissing, m.allJudged() && !m.heard(now)
}

// allJudged reports whether every server has answered or failed often enough.
func (m *Machine) allJudged() bool {
	for i := range m.view.Servers {
		s := &m.view.Servers[i]
		answered := s.Known && !s.Failing
		if !answered && s.Failures < DefaultSuspectProbes {
			return false
		}
	}
	return true
}

// successorReady reports whether a server that stays follows the primary.
func (m *Machine) successorReady(primary *ServerView) bool {
	return slices.ContainsFunc(m.view.Servers, func(s ServerView) bool {
		return s.ID != primary.ID && m.follows(&s)
	})
}

func (m *Machine) majority() int {
	return Majority(len(m.view.Servers))
}

func (m *Machine) reachable(now time.Duration) int {
	n := 0
	for i := range m.view.Servers {
		if m.view.Servers[i].Reachable(now, m.t.SuspectAfter) {
			n++
		}
	}
	return n
}

// begin starts an attempt by fencing one server. All instances ask the same server first, so
// that rivals meet there and only one of them goes on to the others.
func (m *Machine) begin(now time.Duration, reason Reason) []Action {
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
		a.avoid = m.avoided()
	case ReasonIsolated:
		// Its log may be the longest, but what only it has was never confirmed by a majority.
		first, a.avoid = m.view.Primary, m.view.Primary
	}
	m.attempt = a
	return []Action{m.fence(first)}
}

// maxMoves is how often a leaving primary may be promoted again because it had writes that no
// other server had. After that it is left out, which may drop writes acknowledged in ModePrimary.
const maxMoves = 3

// avoided counts the attempts to move away from the leaving primary and returns it once they are
// too many.
func (m *Machine) avoided() ServerID {
	m.moves++
	if m.moves <= maxMoves {
		return ""
	}
	return m.view.Primary
}

func (m *Machine) firstToFence(now time.Duration) ServerID {
	var first ServerID
	for i := range m.view.Servers {
		s := &m.view.Servers[i]
		if s.Reachable(now, m.t.SuspectAfter) && (first == "" || s.ID < first) {
			first = s.ID
		}
	}
	return first
}

func (m *Machine) fence(id ServerID) Action {
	m.attempt.asked[id] = true
	return Fence{Server: id, Term: m.attempt.term}
}

func (m *Machine) fenceAccepted(now time.Duration, e FenceAnswer) {
	a := m.attempt
	if a == nil || e.Term != a.term || e.State.FenceTerm != a.term || e.State.FenceOwner != m.owner || !e.State.Fenced() {
		return
	}
	a.fenced[e.Server] = e.State
	if !a.hasMajor && len(a.fenced) >= m.majority() {
		a.hasMajor, a.majorityAt = true, now
	}
}

func (m *Machine) fenceFailed(now time.Duration, e FenceFailure) {
	a := m.attempt
	m.markUrgent(e.Server)
	if a == nil || e.Term != a.term {
		return
	}
	a.failed[e.Server] = true
	if !a.spread || len(m.view.Servers)-len(a.failed) < m.majority() {
		m.lose(now)
	}
}

func (m *Machine) promoteAccepted(now time.Duration, e PromoteAnswer) {
	m.markUrgent(e.Server)
	if a := m.attempt; a != nil && e.Term == a.term {
		m.attempt, m.losses = nil, 0
		m.retryAt = now + m.t.AttemptTimeout
	}
}

func (m *Machine) promoteFailed(now time.Duration, e PromoteFailure) {
	m.markUrgent(e.Server)
	a := m.attempt
	if a == nil || e.Term != a.term {
		return
	}
	a.promoting = false
	a.tries++
	if a.tries >= maxPromoteTries {
		m.lose(now)
	}
}

// lose ends the attempt and backs off, longer after each loss in a row.
func (m *Machine) lose(now time.Duration) {
	m.attempt = nil
	limit := m.t.Backoff << min(m.losses, maxLossShift)
	limit = min(limit, m.t.MaxBackoff)
	m.retryAt = now + limit/4 + m.random(limit)
	m.losses++
}

// maxLossShift keeps the doubling from overflowing.
const maxLossShift = 16

// drive takes the running attempt one step further.
func (m *Machine) drive(now time.Duration) []Action {
	a := m.attempt
	fence, _ := m.view.highestFence()
	switch {
	case m.view.Term >= a.term || fence > a.term:
		m.settle(now)
		return nil
	case now-a.startedAt >= m.t.AttemptTimeout:
		m.lose(now)
		return nil
	case a.promoting:
		return nil
	case a.target != "":
		return m.promote()
	case !a.spread:
		return m.spread()
	case a.hasMajor && m.fencedEnough(now):
		a.target = m.successor()
		return m.promote()
	}
	return nil
}

// settle ends an attempt whose outcome a probe has shown.
func (m *Machine) settle(now time.Duration) {
	if m.view.Term >= m.attempt.term {
		m.attempt, m.losses = nil, 0
		return
	}
	m.lose(now)
}

// spread fences the other servers once the first one has accepted.
func (m *Machine) spread() []Action {
	a := m.attempt
	if len(a.fenced) == 0 {
		return nil
	}
	a.spread = true
	var out []Action
	for i := range m.view.Servers {
		if id := m.view.Servers[i].ID; !a.asked[id] {
			out = append(out, m.fence(id))
		}
	}
	return out
}

// fencedEnough reports whether no reachable server is left that may soon accept the fence.
func (m *Machine) fencedEnough(now time.Duration) bool {
	a := m.attempt
	if now-a.majorityAt >= m.grace() {
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

// grace returns how long the attempt waits for servers beyond the majority: longer when a leaving
// primary is to be left out, because the others then have to form a majority.
func (m *Machine) grace() time.Duration {
	if m.attempt.avoid != "" {
		return m.t.AttemptTimeout / 2
	}
	return m.t.FenceGrace
}

// promote orders the promotion of the target, also again after a lost answer. The target is chosen
// once per term: another one would be a second primary of the term.
func (m *Machine) promote() []Action {
	a := m.attempt
	a.promoting = true
	return []Action{Promote{Server: a.target, Term: a.term, Reason: a.reason}}
}

// successor returns the fenced server with the highest (term, LSN); among equals one that is not
// leaving, then the present primary, then the first by name.
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

// candidates returns the fenced servers, without the primary to be avoided if the others still form a
// majority: any majority contains every write confirmed in ModeMajority.
func (m *Machine) candidates() []*ServerView {
	a := m.attempt
	_, avoided := a.fenced[a.avoid]
	without := avoided && len(a.fenced)-1 >= m.majority()
	var out []*ServerView
	for i := range m.view.Servers {
		s := &m.view.Servers[i]
		if _, fenced := a.fenced[s.ID]; !fenced || (without && s.ID == a.avoid) {
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

// MajorityLost reports whether so many servers are suspected that nothing can be proven.
func (m *Machine) MajorityLost(now time.Duration) bool {
	left := len(m.view.Servers)
	for i := range m.view.Servers {
		if m.Suspected(now, &m.view.Servers[i]) {
			left--
		}
	}
	return left < m.majority()
}

// PrimaryWait returns the least time until another server may be promoted in place of a primary
// that does not answer; 0 when that may happen at once or the primary answers.
func (m *Machine) PrimaryWait(now time.Duration) time.Duration {
	primary := m.view.PrimaryView()
	if primary == nil || !primary.Failing {
		return 0
	}
	wait := primary.FailingSince + m.t.SuspectAfter - now
	if m.heard(now) && m.Suspected(now, primary) {
		wait = primary.FailingSince + m.t.UnreachableAfter - now
	}
	if m.damped(now, primary) {
		wait = max(wait, m.view.PrimarySince+m.t.Damping-now)
	}
	return max(wait, 0)
}

// deadlines returns the times at which decide may come to another result without an event.
func (m *Machine) deadlines() []time.Duration {
	out := []time.Duration{m.due.at, m.retryAt, m.rival.until}
	if a := m.attempt; a != nil {
		out = append(out, a.startedAt+m.t.AttemptTimeout)
		if a.hasMajor {
			out = append(out, a.majorityAt+m.grace())
		}
	}
	return out
}
