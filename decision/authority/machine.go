package authority

import (
	"math/rand"
	"slices"
	"time"
)

// Default timings of a Machine.
const (
	// DefaultIdleInterval is the time between probes of a server while nothing waits.
	DefaultIdleInterval = 100 * time.Millisecond
	// DefaultDemandInterval is the time between probes of a server while waiters are unresolved. It
	// prevents a busy loop and is short compared to the round trip between failure domains (1 ms).
	DefaultDemandInterval = 500 * time.Microsecond
	// DefaultHedgeAfter is the time without an answer after which a probe is repeated over a new
	// connection.
	DefaultHedgeAfter = 100 * time.Millisecond
	// DefaultSuspectAfter is the time for which a primary must not have answered, and replicas must
	// have had no contact with it, before it is replaced.
	DefaultSuspectAfter = time.Second
	// DefaultUnreachableAfter applies instead of DefaultSuspectAfter while replicas still have contact
	// with the primary and the other instances have not lost it too.
	DefaultUnreachableAfter = 8 * time.Second
	// DefaultAskInterval is the time between queries of the other instances about a primary that
	// replicas still have contact with. Instances judge a primary lost within half a second of each
	// other.
	DefaultAskInterval = 250 * time.Millisecond
	// DefaultIsolatedAfter is how long a primary is kept that answers although a majority of the
	// servers, all answering, have no contact with it. No write is confirmed meanwhile, and writes
	// acknowledged by the primary alone would be lost, so it is far below DefaultUnreachableAfter. It
	// is longer than a brief interruption of the replication links, which needs no new term.
	DefaultIsolatedAfter = 2 * time.Second
	// DefaultSuspectProbes is the number of consecutive failed probes over new connections after
	// which a server is suspected.
	DefaultSuspectProbes = 3
	// DefaultDamping is the time after a promotion during which only refused connections cause
	// another one.
	DefaultDamping = 10 * time.Second
	// DefaultJitter bounds the random delay before an attempt, so that instances that detect the
	// same failure seldom fence at the same time.
	DefaultJitter = 150 * time.Millisecond
	// DefaultBackoff is the base delay after a failed attempt; it doubles up to MaxBackoff.
	DefaultBackoff = 400 * time.Millisecond
	// DefaultMaxBackoff is the largest value that the doubled Backoff reaches.
	DefaultMaxBackoff = 4 * time.Second
	// DefaultAttemptTimeout bounds an attempt, measured from its first fence.
	DefaultAttemptTimeout = time.Second
	// DefaultFenceGrace is how long an attempt waits for reachable servers beyond the majority,
	// one of which may have a longer log.
	DefaultFenceGrace = 50 * time.Millisecond
	// DefaultStrandedAfter is how long a fence above the term of a healthy primary is tolerated. A
	// server with such a fence follows no primary until a later term begins.
	DefaultStrandedAfter = 10 * time.Second
)

// Timings are the durations of a Machine.
type Timings struct {
	IdleInterval     time.Duration
	DemandInterval   time.Duration
	HedgeAfter       time.Duration
	SuspectAfter     time.Duration
	UnreachableAfter time.Duration
	AskInterval      time.Duration
	IsolatedAfter    time.Duration
	Damping          time.Duration
	Jitter           time.Duration
	Backoff          time.Duration
	MaxBackoff       time.Duration
	AttemptTimeout   time.Duration
	FenceGrace       time.Duration
	StrandedAfter    time.Duration
}

// DefaultTimings returns the default timings.
func DefaultTimings() Timings {
	return Timings{
		IdleInterval:     DefaultIdleInterval,
		DemandInterval:   DefaultDemandInterval,
		HedgeAfter:       DefaultHedgeAfter,
		SuspectAfter:     DefaultSuspectAfter,
		UnreachableAfter: DefaultUnreachableAfter,
		AskInterval:      DefaultAskInterval,
		IsolatedAfter:    DefaultIsolatedAfter,
		Damping:          DefaultDamping,
		Jitter:           DefaultJitter,
		Backoff:          DefaultBackoff,
		MaxBackoff:       DefaultMaxBackoff,
		AttemptTimeout:   DefaultAttemptTimeout,
		FenceGrace:       DefaultFenceGrace,
		StrandedAfter:    DefaultStrandedAfter,
	}
}

// Config describes the group and the instance that a Machine acts for.
type Config struct {
	Servers []ServerID
	// Owner is the name under which fences are placed. It must never be used by another run of
	// any process: a restarted process that reuses the owner of its previous run could promote a
	// second server in the same term.
	Owner string
	// Rand is the source of jitter. It must be seeded differently in every instance.
	Rand *rand.Rand
	// Timings default to DefaultTimings if they are all zero.
	Timings Timings
}

// Machine watches one database group and decides when to fence and promote.
type Machine struct {
	owner             string
	rand              *rand.Rand
	timings           Timings
	view              View
	seq               Seq
	demand            Demand
	waitersAfter      Seq       // waiters need probes with a higher sequence number
	probing           []probing // by server
	noPrimarySince    time.Duration
	noPrimary         bool
	scheduled         scheduledAttempt
	openFence         openFence
	attempt           *attempt
	lastTerm          uint64        // of the newest attempt; a term is never used for two attempts
	failedAttempts    int           // consecutive failed attempts
	retryAt           time.Duration // no attempt before this time
	stranded          bool
	strandedSince     time.Duration
	isolated          bool
	isolatedSince     time.Duration
	switchoverPending bool
	switchoverSince   time.Duration
	switchovers       int // attempts to replace the leaving primary
	survey            peerSurvey
}

// probing is the state of a machine's own probes of one server.
type probing struct {
	inFlight int
	lastSent time.Duration
	lastSeq  Seq
	urgent   bool // probe as soon as no probe is in flight
	suspect  bool // probe over a new connection
	started  bool
}

// scheduledAttempt is an attempt that begins after its jitter.
type scheduledAttempt struct {
	reason Reason
	at     time.Duration
}

// openFence is a fence above the current term, which may soon lead to a promotion.
type openFence struct {
	term  uint64
	until time.Duration
}

// NewMachine returns a Machine that knows nothing about the group yet.
func NewMachine(now time.Duration, c Config) *Machine {
	timings := c.Timings
	if timings == (Timings{}) {
		timings = DefaultTimings()
	}
	return &Machine{
		owner:          c.Owner,
		rand:           c.Rand,
		timings:        timings,
		view:           NewView(c.Servers),
		probing:        make([]probing, len(c.Servers)),
		noPrimary:      true,
		noPrimarySince: now,
	}
}

// View returns the machine's view of the group. It must not be modified and is valid until the next
// Step.
func (m *Machine) View() *View {
	return &m.view
}

// Seq returns the last probe sequence number assigned.
func (m *Machine) Seq() Seq {
	return m.seq
}

// RequestProbes registers a new waiter, which only probes ordered from now on can resolve. Each
// server is then probed as soon as it has no probe in flight.
func (m *Machine) RequestProbes() {
	m.waitersAfter = m.seq
}

// Demand is the set of probes that the unresolved waiters need.
type Demand int

const (
	// DemandNone means that there are no waiters.
	DemandNone Demand = iota
	// DemandSample means that all waiters are samples. They need the replicas only: the primary is
	// at or past every replica, so its answer can't lower a floor. It is not probed for them while
	// the replicas answer.
	DemandSample
	// DemandAll means that the answers of all servers are needed.
	DemandAll
)

// SetDemand sets the demand of the unresolved waiters. Unless it is DemandNone, probes are sent at
// DemandInterval instead of IdleInterval.
func (m *Machine) SetDemand(demand Demand) {
	m.demand = demand
}

// SampleProbesInFlight reports whether each server that a sample needs has a probe in flight, so that
// none would be ordered for a new sample at once.
func (m *Machine) SampleProbesInFlight() bool {
	for i := range m.probing {
		if m.probing[i].inFlight == 0 && !m.skippedBySamples(i) {
			return false
		}
	}
	return true
}

// SetLeaving marks the servers that are to be drained.
func (m *Machine) SetLeaving(leaving []ServerID) {
	for i := range m.view.Servers {
		s := &m.view.Servers[i]
		s.Leaving = slices.Contains(leaving, s.ID)
	}
}

// Step processes an event and returns the actions that the driver has to execute.
func (m *Machine) Step(now time.Duration, e Event) []Action {
	switch e := e.(type) {
	case ProbeResult:
		if !e.Late {
			m.probeEnded(e.State.Server)
		}
		m.view.observe(now, e.Sent, e.Seq, e.State)
	case ProbeFailure:
		m.probeEnded(e.Server)
		m.view.recordFailure(e)
	case Suspicion:
		m.markSuspect(e.Server)
	case FenceAccepted:
		m.fenceAccepted(now, e)
	case FenceFailure:
		m.fenceFailed(now, e)
	case PromoteAccepted:
		m.promoteAccepted(now, e)
	case PromoteFailure:
		m.promoteFailed(now, e)
	case PeerViews:
		m.survey.record(e)
	}
	actions := append(m.decide(now), m.askPeers(now)...)
	return append(actions, m.orderDueProbes(now)...)
}

func (m *Machine) index(id ServerID) int {
	return slices.IndexFunc(m.view.Servers, func(s ServerView) bool { return s.ID == id })
}

func (m *Machine) probeEnded(id ServerID) {
	if i := m.index(id); i >= 0 && m.probing[i].inFlight > 0 {
		m.probing[i].inFlight--
	}
}

func (m *Machine) markSuspect(id ServerID) {
	if i := m.index(id); i >= 0 {
		m.probing[i].urgent, m.probing[i].suspect = true, true
	}
}

func (m *Machine) markUrgent(id ServerID) {
	if i := m.index(id); i >= 0 {
		m.probing[i].urgent = true
	}
}

// orderDueProbes orders the probes that are due.
func (m *Machine) orderDueProbes(now time.Duration) []Action {
	var out []Action
	for i := range m.probing {
		at, fresh, ok := m.nextProbe(i)
		if !ok || at > now {
			continue
		}
		out = append(out, m.orderProbe(now, i, fresh))
	}
	return out
}

func (m *Machine) orderProbe(now time.Duration, i int, fresh bool) Action {
	m.seq++
	p := &m.probing[i]
	p.inFlight++
	p.lastSent, p.lastSeq, p.started = now, m.seq, true
	p.urgent, p.suspect = false, false
	return Probe{Server: m.view.Servers[i].ID, Seq: m.seq, Fresh: fresh}
}

// maxInFlight bounds the probes of one server: the regular one and its repeat over a new connection.
const maxInFlight = 2

// nextProbe returns when the next probe of server i is due.
func (m *Machine) nextProbe(i int) (at time.Duration, fresh, ok bool) {
	p := &m.probing[i]
	failing := m.view.Servers[i].Failing
	switch {
	case !p.started:
		return 0, false, true
	case p.inFlight >= maxInFlight:
		return 0, false, false
	case p.inFlight > 0:
		return p.lastSent + m.timings.HedgeAfter, true, true
	case p.urgent:
		return p.lastSent, p.suspect || failing, true
	case failing && m.view.Servers[i].Failures == 0:
		return p.lastSent, true, true
	case failing:
		return p.lastSent + m.timings.HedgeAfter, true, true
	case m.demand == DemandSample && m.skippedBySamples(i):
		return m.skippedUntil(i), false, true
	case m.demand != DemandNone && p.lastSeq <= m.waitersAfter:
		return p.lastSent, false, true
	case m.demand != DemandNone:
		return p.lastSent + m.timings.DemandInterval, false, true
	default:
		return p.lastSent + m.timings.IdleInterval, false, true
	}
}

// skippedBySamples reports whether samples don't need server i, because it is the primary and all
// other servers, which are a majority, follow it.
func (m *Machine) skippedBySamples(i int) bool {
	if m.view.Servers[i].ID != m.view.Primary || len(m.probing)-1 < Majority(len(m.probing)) {
		return false
	}
	for j := range m.view.Servers {
		s := &m.view.Servers[j]
		if !s.Known || s.Failing || s.State.Term != m.view.Term || s.State.Fenced() {
			return false
		}
	}
	return true
}

// skippedUntil returns when a server skipped by samples is probed after all: as soon as another server
// has not answered for a demand interval, because a slow server must not delay reads.
func (m *Machine) skippedUntil(i int) time.Duration {
	until := m.probing[i].lastSent + m.timings.IdleInterval
	for j := range m.probing {
		if j != i && m.probing[j].inFlight > 0 {
			until = min(until, m.probing[j].lastSent+m.timings.DemandInterval)
		}
	}
	return until
}

// NextTick returns when the machine needs a Tick unless another event occurs earlier.
func (m *Machine) NextTick(now time.Duration) time.Duration {
	next := now + m.timings.IdleInterval
	for i := range m.probing {
		if at, _, ok := m.nextProbe(i); ok {
			next = min(next, at)
		}
	}
	for _, at := range m.deadlines() {
		if at > now {
			next = min(next, at)
		}
	}
	return max(next, now)
}

// Owner returns the name under which fences are placed; it never changes.
func (m *Machine) Owner() string {
	return m.owner
}
