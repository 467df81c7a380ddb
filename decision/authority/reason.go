package authority

import (
	"slices"
	"time"
)

// Reason tells why an attempt to promote began.
type Reason string

const (
	// ReasonFailed: the primary answers nobody.
	ReasonFailed Reason = "primary_failed"
	// ReasonAbandoned: replicas hear the primary, but a majority of the instances have lost it and
	// no instance says that it reaches it.
	ReasonAbandoned Reason = "primary_abandoned"
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
	case m.isolated && now-m.isolatedSince >= m.t.IsolatedAfter && !m.damped(now, primary):
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
	if m.abandoned(now, primary) {
		return ReasonAbandoned, true
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
