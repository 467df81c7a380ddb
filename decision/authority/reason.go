package authority

import (
	"slices"
	"time"
)

// Reason is the reason why an attempt to promote began.
type Reason string

const (
	// ReasonFailed: the primary does not answer this instance and no replica has contact with it.
	ReasonFailed Reason = "primary_failed"
	// ReasonAbandoned: replicas have contact with the primary, but a majority of the instances have
	// lost it and none of them reaches it.
	ReasonAbandoned Reason = "primary_abandoned"
	// ReasonUnreachable: replicas have contact with the primary, but it has not answered this
	// instance for UnreachableAfter.
	ReasonUnreachable Reason = "primary_unreachable"
	// ReasonIsolated: the primary answers, but a majority of the servers have had no contact with it
	// for IsolatedAfter, so that no write is confirmed.
	ReasonIsolated Reason = "primary_isolated"
	// ReasonMissing: no server reports being the primary of the highest term.
	ReasonMissing Reason = "no_primary"
	// ReasonUnfinished: fences above the highest term leave no unfenced majority, and no promotion followed
	// in time.
	ReasonUnfinished Reason = "promotion_unfinished"
	// ReasonStranded: the primary is healthy, but a fence prevents another server from following it.
	ReasonStranded Reason = "server_stranded"
	// ReasonLeaving: the primary is to be drained.
	ReasonLeaving Reason = "primary_leaving"
)

func (m *Machine) trackPrimary(now time.Duration) {
	missing := m.view.Primary == ""
	if missing && !m.noPrimary {
		m.noPrimarySince = now
	}
	m.noPrimary = missing
}

// trackOpenFence records a fence above the current term. Another owner's fence gets time to lead to a
// promotion before this instance begins an attempt.
func (m *Machine) trackOpenFence(now time.Duration) {
	fence, holder := m.view.highestFence()
	if fence <= m.view.Term {
		m.openFence = openFence{}
		return
	}
	if fence == m.openFence.term {
		return
	}
	m.openFence = openFence{term: fence, until: now}
	if holder.State.FenceOwner != m.owner {
		m.openFence.until += m.timings.AttemptTimeout/2 + m.randomDelay(m.timings.Backoff)
	}
}

// trackStranded records since when a server is fenced above the term of the primary.
func (m *Machine) trackStranded(now time.Duration) {
	stranded := m.view.Primary != "" && m.view.fencedAbove(m.view.Term) > 0
	if stranded && !m.stranded {
		m.strandedSince = now
	}
	m.stranded = stranded
}

// trackIsolated records since when a majority of the servers have had no contact with a primary that
// answers this instance.
func (m *Machine) trackIsolated(now time.Duration) {
	isolated := m.replicasWithoutContact(now) >= m.majority()
	if isolated && !m.isolated {
		m.isolatedSince = now
	}
	m.isolated = isolated
}

// replicasWithoutContact counts the reachable replicas without recent contact with a primary that answers.
func (m *Machine) replicasWithoutContact(now time.Duration) int {
	primary := m.view.PrimaryView()
	if primary == nil || !primary.Reachable(now, m.timings.SuspectAfter) {
		return 0
	}
	n := 0
	for i := range m.view.Servers {
		s := &m.view.Servers[i]
		replica := s.State.Role == RoleReplica && s.Reachable(now, m.timings.SuspectAfter)
		if replica && s.contactAge(now) >= m.timings.SuspectAfter {
			n++
		}
	}
	return n
}

// trackSwitchover records since when the primary is leaving while another server can take over.
func (m *Machine) trackSwitchover(now time.Duration) {
	pending := m.SwitchoverPending()
	if pending && !m.switchoverPending {
		m.switchoverSince = now
	}
	m.switchoverPending = pending
	if primary := m.view.PrimaryView(); primary != nil && !primary.Leaving {
		m.switchovers = 0
	}
}

// SwitchoverPending reports whether the primary is leaving and another server can take over. The driver
// then sends the primary no new writes, so that its successor reaches its last position before the
// promotion.
func (m *Machine) SwitchoverPending() bool {
	primary := m.view.PrimaryView()
	return primary != nil && primary.Leaving && !primary.Failing && m.hasSuccessor(primary)
}

// switchoverReady reports whether a successor has reached the leaving primary's position. Instances that
// don't know of the switchover yet may continue to write, so the wait is bounded.
func (m *Machine) switchoverReady(now time.Duration) bool {
	if !m.switchoverPending {
		return false
	}
	return m.caughtUp() || now-m.switchoverSince >= m.timings.SuspectAfter
}

// caughtUp reports whether a follower that is not leaving has reached the primary's position.
func (m *Machine) caughtUp() bool {
	primary := m.view.PrimaryView()
	return slices.ContainsFunc(m.view.Servers, func(s ServerView) bool {
		return m.isFollower(&s) && s.State.LSN >= primary.State.LSN
	})
}

// isFollower reports whether a server is a replica of the current term and not leaving.
func (m *Machine) isFollower(s *ServerView) bool {
	return !s.Leaving && s.Known && !s.Failing && s.State.Role == RoleReplica && s.State.Term == m.view.Term
}

// reason returns why an attempt should begin now.
func (m *Machine) reason(now time.Duration) (Reason, bool) {
	if m.reachable(now) < m.majority() {
		return "", false
	}
	if m.openFence.term > 0 && now < m.openFence.until {
		return "", false
	}
	primary := m.view.PrimaryView()
	unfenced := len(m.view.Servers) - m.view.fencedAbove(m.view.Term)
	switch {
	case m.openFence.term > 0 && unfenced < m.majority():
		return ReasonUnfinished, true
	case primary == nil:
		return m.reasonWithoutPrimary(now)
	case primary.Failing:
		return m.reasonAgainstFailing(now, primary)
	case m.stranded && now-m.strandedSince >= m.timings.StrandedAfter:
		return ReasonStranded, true
	case m.switchoverReady(now):
		return ReasonLeaving, true
	case m.isolated && now-m.isolatedSince >= m.timings.IsolatedAfter && !m.damped(now, primary):
		return ReasonIsolated, true
	}
	return "", false
}

// reasonAgainstFailing returns the reason to replace a primary that does not answer this instance.
func (m *Machine) reasonAgainstFailing(now time.Duration, primary *ServerView) (Reason, bool) {
	unansweredFor := now - primary.FailingSince
	if !m.Suspected(now, primary) {
		return "", false
	}
	if m.damped(now, primary) {
		return "", false
	}
	if !m.replicaHasContact(now) {
		return ReasonFailed, true
	}
	if m.abandoned(now, primary) {
		return ReasonAbandoned, true
	}
	return ReasonUnreachable, unansweredFor >= m.timings.UnreachableAfter
}

// Suspected reports whether enough probes of a server over new connections have failed for long enough.
func (m *Machine) Suspected(now time.Duration, s *ServerView) bool {
	return s.Failures >= DefaultSuspectProbes && now-s.FailingSince >= m.timings.SuspectAfter
}

// damped reports whether the last promotion is too recent for another one; refused connections are
// exempt.
func (m *Machine) damped(now time.Duration, primary *ServerView) bool {
	if !m.view.TermChanged || now-m.view.PrimarySince >= m.timings.Damping {
		return false
	}
	refused := primary.Failures >= DefaultSuspectProbes && primary.Refused == primary.Failures
	return !refused
}

// replicaHasContact reports whether a replica of the current term had contact with its primary within
// SuspectAfter.
func (m *Machine) replicaHasContact(now time.Duration) bool {
	for i := range m.view.Servers {
		s := &m.view.Servers[i]
		if !s.Known || s.Failing || s.State.Role != RoleReplica || s.State.Term != m.view.Term {
			continue
		}
		if s.contactAge(now) < m.timings.SuspectAfter {
			return true
		}
	}
	return false
}

// reasonWithoutPrimary returns the reason to promote in a group in which no server reports being the
// primary of the highest term. A server that never answered may be it.
func (m *Machine) reasonWithoutPrimary(now time.Duration) (Reason, bool) {
	missing := now - m.noPrimarySince
	if missing < m.timings.SuspectAfter {
		return "", false
	}
	if missing >= m.timings.UnreachableAfter {
		return ReasonMissing, true
	}
	return ReasonMissing, m.allAnsweredOrFailed() && !m.replicaHasContact(now)
}

// allAnsweredOrFailed reports whether every server has answered or has failed DefaultSuspectProbes probes.
func (m *Machine) allAnsweredOrFailed() bool {
	for i := range m.view.Servers {
		s := &m.view.Servers[i]
		answered := s.Known && !s.Failing
		if !answered && s.Failures < DefaultSuspectProbes {
			return false
		}
	}
	return true
}

// hasSuccessor reports whether a server that is not leaving follows the primary.
func (m *Machine) hasSuccessor(primary *ServerView) bool {
	return slices.ContainsFunc(m.view.Servers, func(s ServerView) bool {
		return s.ID != primary.ID && m.isFollower(&s)
	})
}

func (m *Machine) majority() int {
	return Majority(len(m.view.Servers))
}

func (m *Machine) reachable(now time.Duration) int {
	n := 0
	for i := range m.view.Servers {
		if m.view.Servers[i].Reachable(now, m.timings.SuspectAfter) {
			n++
		}
	}
	return n
}
