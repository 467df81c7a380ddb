package authority

import "time"

// peerSurvey holds the judgements of other instances about a primary that does not answer this one
// while replicas still have contact with it. Either the primary is cut off from all instances, so that
// no client can write, or only this instance has lost it and a promotion would disrupt the others. Neither
// the servers nor this instance's own probes can distinguish these cases.
type peerSurvey struct {
	inFlight bool
	nextAt   time.Duration
	last     PeerViews
}

func (s *peerSurvey) record(e PeerViews) {
	s.inFlight = false
	s.last = e
}

// askPeers orders a query of the other instances while its result can shorten the wait for a promotion.
func (m *Machine) askPeers(now time.Duration) []Action {
	primary := m.view.PrimaryView()
	if primary == nil || m.Judge(now, primary.ID, m.view.Term) != JudgementLost || !m.replicaHasContact(now) {
		return nil
	}
	if m.survey.inFlight || now < m.survey.nextAt || m.abandoned(now, primary) {
		return nil
	}
	m.survey.inFlight = true
	m.survey.nextAt = now + m.timings.AskInterval
	return []Action{AskPeers{Server: primary.ID, Term: m.view.Term}}
}

// Judgement is an instance's opinion about a primary, given to another instance on request.
type Judgement int

const (
	// JudgementNone: the instance can't judge the primary.
	JudgementNone Judgement = iota
	// JudgementLost: the primary has left enough probes of the instance unanswered.
	JudgementLost
	// JudgementReaches: the primary answers the instance, or a later one has replaced it.
	JudgementReaches
)

// Judge returns this instance's judgement of the server that is the primary of a term.
func (m *Machine) Judge(now time.Duration, id ServerID, term uint64) Judgement {
	primary := m.view.PrimaryView()
	switch {
	case m.view.Term > term:
		return JudgementReaches
	case primary == nil || primary.ID != id || m.view.Term != term:
		return JudgementNone
	case !primary.Failing && primary.Reachable(now, m.timings.SuspectAfter):
		return JudgementReaches
	case primary.Failing && m.Suspected(now, primary):
		return JudgementLost
	}
	return JudgementNone
}

// abandoned reports whether, by a recent query, a majority of the asked instances and this one have
// lost the primary and none of them reaches it. An instance that reaches few others gets no majority
// and waits for UnreachableAfter.
func (m *Machine) abandoned(now time.Duration, primary *ServerView) bool {
	s := m.survey.last
	if s.Server != primary.ID || s.Term != m.view.Term || s.Sent < primary.FailingSince {
		return false
	}
	recent := now-s.Sent <= m.timings.SuspectAfter
	return recent && s.Reaching == 0 && s.Lost+1 >= Majority(s.Asked+1)
}

// abandonedWait returns the minimum time until a primary that replicas have contact with may be replaced.
func (m *Machine) abandonedWait(now time.Duration, primary *ServerView) time.Duration {
	s := m.survey.last
	current := s.Server == primary.ID && s.Term == m.view.Term && s.Sent >= primary.FailingSince
	if current && s.Reaching > 0 {
		return primary.FailingSince + m.timings.UnreachableAfter - now
	}
	return 0
}
