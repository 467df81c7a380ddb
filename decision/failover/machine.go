package failover

import "time"

const (
	// failedProbesLimit is the number of consecutive unanswered probes after which a primary may be replaced.
	failedProbesLimit = 2
	// probePeriod is the time between two probes of a primary that does not answer.
	probePeriod = 150 * time.Millisecond
	// surveyPeriod is the time between two surveys of the other instances.
	surveyPeriod = 300 * time.Millisecond
	// noPrimaryWait is how long a database may be without a server that claims to be the primary before one is
	// promoted. Servers report a role change immediately.
	noPrimaryWait = 1500 * time.Millisecond
	// partialLossWait is how long a majority of the instances must have lost a primary that some still reach
	// before it is replaced. A promotion stops writes for up to a second, so waiting is better during a short
	// network partition.
	partialLossWait = 1500 * time.Millisecond
	// minorityWait is how long a primary must be lost before it is replaced if less than a majority confirms the
	// loss, for example because many instances have failed. isolatedWait applies if no other instance confirms it.
	minorityWait = 1200 * time.Millisecond
	isolatedWait = 3 * time.Second
	// missingEntryWait is how long the entry of a primary that answers must be missing before it is replaced:
	// entries that expired during a store outage reappear within about two seconds of its end.
	missingEntryWait = 2200 * time.Millisecond
	// promotionTime is the minimum time between an accepted order, or a claim by another instance, and the next
	// order: a promotion takes up to a second, and up to another second until it is visible.
	promotionTime = 2500 * time.Millisecond
	// orderRetryDelay is the minimum time between an order that failed (refused, unanswered, or its claim lost)
	// and the next.
	orderRetryDelay = 700 * time.Millisecond
	// moveHomePeriod is the minimum time between a promotion and a hand-over that only moves the primary to its home
	// region, so that a server at home that comes and goes does not stop the writes again and again.
	moveHomePeriod = 30 * time.Second
	// moveHomeRetryDelay is the minimum time between two attempts to move a primary to its home region: the primary
	// serves meanwhile, and each attempt of each instance probes the candidates.
	moveHomeRetryDelay = 5 * time.Second
)

// Primary is what the instance knows about the primary.
type Primary struct {
	ID      string // empty if no server claims to be the primary
	Leaving bool
	Missing bool // its entry is missing
	// Evacuated: its failure domain is evacuated.
	Evacuated bool
	// IsReplaced: a claim, of which this instance learned at ClaimedAt, names another server that does not lead yet. OwnClaim: it is
	// a claim of this instance.
	IsReplaced, OwnClaim bool
	ClaimedAt            time.Duration
	// AwayFromHome: it is outside the regions where it belongs, and a server there may take over.
	AwayFromHome bool
}

// Survey summarizes the answers of the other instances about the primary.
type Survey struct {
	Asked, Lost, Reaching int
}

// Action is what the caller has to do next.
type Action int

const (
	None Action = iota
	// Probe the primary and report the result to RecordProbe.
	Probe
	// AskPeers whether they reach the primary and report the answers to RecordSurvey.
	AskPeers
	// Replace the primary by the replica with the highest received log position, and report the result to RecordOrder.
	Replace
	// HandOver from a primary that answers but is leaving, evacuated or has no entry, and report the result to RecordOrder.
	HandOver
)

// Reason is the reason for an action, for logs.
type Reason string

const (
	ReasonNone            Reason = ""
	ReasonSuspected       Reason = "primary left a statement unanswered"
	ReasonPeersLost       Reason = "a majority of the instances has lost the primary"
	ReasonUnreachable     Reason = "primary is lost and no instance that answers reaches it"
	ReasonLostAndUnlisted Reason = "primary is lost and its entry is gone"
	ReasonLeaving         Reason = "primary leaves"
	ReasonEvacuated       Reason = "failure domain of the primary is evacuated"
	ReasonUnlisted        Reason = "primary answers, but its entry is gone"
	ReasonNoPrimary       Reason = "no server claims to be the primary"
	ReasonUnfinished      Reason = "the primary was claimed to be replaced, which has not been done"
	ReasonAwayFromHome    Reason = "primary is outside the home regions of its database"
	ReasonUnanswered      Reason = "probes of the primary were not answered"
)

// Machine is the failover state machine of one database. The zero value is ready for use.
type Machine struct {
	primary         string
	suspected       bool
	suspectedAt     time.Duration // time of the first failure
	failures        int           // consecutive unanswered probes
	probedAt        time.Duration
	probePending    bool
	surveyStartedAt time.Duration
	surveyPending   bool
	survey          Survey
	surveyed        bool
	orderPending    bool
	nextOrderAt     time.Duration // no order is made before
	noPrimarySince  time.Duration // since when no server claims to be the primary; 0 if one does
	missingSince    time.Duration // since when the primary's entry is missing; 0 if it is present
	lastPrimary     string        // the last known primary; empty before the first
	nextMoveHomeAt  time.Duration // no hand-over that only moves the primary to its home region is ordered before
	movingHome      bool          // the pending order only moves the primary to its home region
}

// Suspect records that a server did not answer a statement. It reports whether the primary became suspected.
func (m *Machine) Suspect(now time.Duration, server string) bool {
	if server != m.primary || m.suspected {
		return false
	}
	m.suspected = true
	m.suspectedAt = now
	return true
}

// Suspected reports whether the primary is suspected to have failed, or none is known.
func (m *Machine) Suspected() bool {
	return m.suspected || m.noPrimarySince != 0
}

func (m *Machine) clearSuspicion() {
	m.suspected = false
	m.failures = 0
	m.surveyed = false
	m.survey = Survey{}
}

// Step returns the next action.
func (m *Machine) Step(now time.Duration, p Primary) (Action, Reason) {
	m.update(now, p)
	switch {
	case m.orderPending || now < m.nextOrderAt:
		return None, ReasonNone
	case p.ID == "":
		return m.decideWithoutPrimary(now)
	case m.suspected:
		return m.decideSuspected(now, p)
	case p.IsReplaced:
		return m.decideReplaced(now, p)
	case p.Evacuated:
		return m.order(HandOver, ReasonEvacuated)
	case p.Leaving:
		return m.order(HandOver, ReasonLeaving)
	case p.Missing && now-m.missingSince >= missingEntryWait:
		return m.order(HandOver, ReasonUnlisted)
	case p.AwayFromHome && !p.Missing && now >= m.nextMoveHomeAt:
		m.movingHome = true
		return m.order(HandOver, ReasonAwayFromHome)
	}
	return None, ReasonNone
}

// update records the current primary and when it or its entry went missing.
func (m *Machine) update(now time.Duration, p Primary) {
	if p.ID != m.primary {
		m.postponeMoveHome(now, p.ID)
		m.primary = p.ID
		m.missingSince = 0
		m.clearSuspicion()
	}
	switch {
	case !p.Missing:
		m.missingSince = 0
	case m.missingSince == 0:
		m.missingSince = max(now, 1)
	}
	switch {
	case p.ID != "":
		m.noPrimarySince = 0
	case m.noPrimarySince == 0:
		m.noPrimarySince = now
	}
}

// postponeMoveHome starts the minimum time until the primary is moved to its home region when another server has become
// the primary. A machine that has just started has not seen a promotion, but one may be in progress.
func (m *Machine) postponeMoveHome(now time.Duration, next string) {
	switch {
	case next == "":
	case m.lastPrimary == "":
		m.nextMoveHomeAt = max(m.nextMoveHomeAt, now+promotionTime)
	case m.lastPrimary != next:
		m.nextMoveHomeAt = max(m.nextMoveHomeAt, now+moveHomePeriod)
	}
	if next != "" {
		m.lastPrimary = next
	}
}

func (m *Machine) decideWithoutPrimary(now time.Duration) (Action, Reason) {
	if now-m.noPrimarySince < noPrimaryWait {
		return None, ReasonNone
	}
	return m.order(Replace, ReasonNoPrimary)
}

// decideReplaced takes over a claim that was not carried out: the primary that it replaces gets no statements.
func (m *Machine) decideReplaced(now time.Duration, p Primary) (Action, Reason) {
	if !p.OwnClaim && now-p.ClaimedAt < promotionTime {
		return None, ReasonNone
	}
	return m.order(Replace, ReasonUnfinished)
}

// decideSuspected returns the action for a primary that does not answer this instance.
func (m *Machine) decideSuspected(now time.Duration, p Primary) (Action, Reason) {
	if m.failures >= failedProbesLimit {
		if reason := m.replaceReason(now, p); reason != ReasonNone {
			return m.order(Replace, reason)
		}
	}
	if m.failures > 0 && !m.surveyPending && (m.surveyStartedAt == 0 || now-m.surveyStartedAt >= surveyPeriod) {
		m.surveyPending = true
		m.surveyStartedAt = now
		return AskPeers, ReasonUnanswered
	}
	if !m.probePending && (m.failures == 0 || now-m.probedAt >= probePeriod) {
		m.probePending = true
		m.probedAt = now
		return Probe, ReasonSuspected
	}
	return None, ReasonNone
}

// replaceReason returns why a lost primary may be replaced now, or ReasonNone.
func (m *Machine) replaceReason(now time.Duration, p Primary) Reason {
	switch {
	case !m.surveyed:
		return ReasonNone
	case p.Missing && m.survey.Lost > 0 && m.survey.Reaching == 0:
		return ReasonLostAndUnlisted
	case m.survey.majorityLost():
		if m.survey.Reaching == 0 || now-m.suspectedAt >= partialLossWait {
			return ReasonPeersLost
		}
	case m.survey.Reaching > 0:
		return ReasonNone
	case m.survey.Lost > 0 && now-m.suspectedAt >= minorityWait, now-m.suspectedAt >= isolatedWait:
		return ReasonUnreachable
	}
	return ReasonNone
}

// majorityLost reports whether a majority of the asked instances and this one have lost the primary.
func (s Survey) majorityLost() bool {
	return 2*(s.Lost+1) > s.Asked+1
}

func (m *Machine) order(a Action, reason Reason) (Action, Reason) {
	m.orderPending = true
	return a, reason
}

// RecordProbe records the result of a probe of a server.
func (m *Machine) RecordProbe(server string, answered bool) {
	m.probePending = false
	if server != m.primary {
		return
	}
	if answered {
		m.clearSuspicion()
		return
	}
	m.failures++
}

// RecordSurvey records the answers of the other instances about a server.
func (m *Machine) RecordSurvey(server string, s Survey) {
	m.surveyPending = false
	if server == m.primary {
		m.survey, m.surveyed = s, true
	}
}

// RecordOrder records whether the platform accepted an order.
func (m *Machine) RecordOrder(now time.Duration, accepted bool) {
	m.orderPending = false
	m.clearSuspicion()
	m.nextOrderAt = now + orderRetryDelay
	if m.movingHome {
		m.nextMoveHomeAt = now + moveHomeRetryDelay
	}
	if accepted {
		m.nextOrderAt = now + promotionTime
		m.nextMoveHomeAt = now + moveHomePeriod
	}
	m.movingHome = false
}

// RecordForeignClaim records that another instance has claimed the promotion.
func (m *Machine) RecordForeignClaim(now time.Duration) {
	m.orderPending = false
	m.movingHome = false
	m.clearSuspicion()
	m.nextOrderAt = now + promotionTime
	m.nextMoveHomeAt = now + moveHomePeriod
}
