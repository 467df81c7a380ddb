package quota

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/storeversion"
)

// AssignmentKey is the object in the platform's store that holds the Assignment.
const AssignmentKey = "quota/assignment"

const (
	// ConfirmationTerm is how long a holder may use its fractions after the last time as of which
	// it has confirmed that its assignment is the newest.
	ConfirmationTerm = 8500 * time.Millisecond
	// quarantineTerm is how long fractions are quarantined that another holder had. That holder may
	// use them until its last confirmation expires, and what it has lent by then is in use until
	// the end of the loan.
	quarantineTerm = time.Duration(clockMarginFactor*float64(ConfirmationTerm)) + lenderLoanTerm
	// initialShareTerm is how long after its start the planner limits shares, because it may not
	// know the other instances that start at the same time.
	initialShareTerm = 3 * time.Second
	// UnreachableTerm is how long a holder must be unreachable before it is asked once more and its fractions are given to
	// others. Fractions that move are quarantined for about ten seconds, so the term must outlast a
	// partition that heals by itself.
	UnreachableTerm = 15 * time.Second
)

// During initialShareTerm an instance is given at most FractionCount/initialShareDivisor fractions.
const initialShareDivisor = 8

// Holding is what one instance holds in an assignment.
type Holding struct {
	Address   string `json:"address"` // peer address
	Fractions Mask   `json:"fractions"`
	// Quarantined are those of Fractions that an earlier holder may still be using.
	Quarantined Mask `json:"resting,omitempty"`
	// Returning are those of Fractions that the holder is asked to give back for another instance.
	Returning Mask `json:"returning,omitempty"`
}

// Assignment lists which instance holds which fractions of every account. Holders watch it instead
// of renewing claims, so the fractions of a lost holder are free after seconds.
type Assignment struct {
	Holdings []Holding `json:"tenants"` // the name that instances of earlier builds read
	// Era is the era of the store for which the assignment was written. In a later era it is a copy, or a write that was
	// executed late.
	Era uint64 `json:"era,omitempty"`
	// Settlement rises each time an assignment is settled after such a copy or late write.
	Settlement uint64 `json:"settlement,omitempty"`
	// Unproven are unassigned fractions that an instance may use by a write that the store has lost.
	Unproven Mask `json:"unproven,omitempty"`
}

// DecodeAssignment decodes an assignment and checks that no fraction has two holders.
func DecodeAssignment(data []byte) (Assignment, error) {
	var a Assignment
	if err := json.Unmarshal(data, &a); err != nil {
		return Assignment{}, errors.Wrapf(err, "decode %s; delete the object once every instance is stopped", AssignmentKey)
	}
	var all Mask
	for _, h := range a.Holdings {
		if all&h.Fractions != 0 {
			return Assignment{}, errors.Newf("%s gives a fraction to two holders; delete the object once every instance is stopped", AssignmentKey)
		}
		all |= h.Fractions
	}
	return a, nil
}

// Encode encodes the assignment as JSON.
func (a Assignment) Encode() ([]byte, error) {
	data, err := json.Marshal(a)
	return data, errors.Wrapf(err, "encode %s", AssignmentKey)
}

// Addresses returns the peer addresses of the holders.
func (a Assignment) Addresses() []string {
	out := make([]string, 0, len(a.Holdings))
	for _, h := range a.Holdings {
		out = append(out, h.Address)
	}
	return out
}

func (a Assignment) assigned() Mask {
	var all Mask
	for _, h := range a.Holdings {
		all |= h.Fractions
	}
	return all
}

func (a Assignment) holdingOf(address string) Holding {
	for _, h := range a.Holdings {
		if h.Address == address {
			return h
		}
	}
	return Holding{Address: address}
}

// AssignmentManager decides which fractions this process holds by an assignment that it watches.
// The driver calls Observe with each assignment and ConfirmCurrent whenever it has confirmed that
// the last one is the newest. It calls Plan for a change and writes it on condition that the
// version is WriteVersion. Times are read from a clock that advances while the machine is suspended.
//
// A fraction that another instance has held is used only quarantineTerm after the assignment that
// moved it was observed. By then the other instance has either observed the same assignment and
// stopped, or its confirmation has expired. A fraction that was never assigned, or that its holder
// gave back, is used at once. Fractions of a reachable holder move by being given back, which takes
// as long as its loans; those of a lost one are quarantined.
//
// A store that comes back from a copy has lost assignments that instances act on, and executes late
// writes on top of objects that their writers never saw. An assignment that was not written for the
// store's era is therefore not acted on. Until the planner has settled one, the earlier assignment
// stays in force and is not confirmed, as if the store were out of reach. In the settled one all
// fractions are quarantined, since another instance may act on a lost assignment until its
// confirmation expires. An instance goes on with those that it may use when it observes the settled
// assignment, and ends their quarantine.
type AssignmentManager struct {
	address    string
	started    time.Duration
	storeIsNew bool

	assignment      Assignment // in force
	version         uint64     // of the last observed assignment
	writeVersion    uint64
	era             uint64 // latest era seen
	eraKnown        bool
	settled         bool          // assignment was written for era
	unsettled       Assignment    // as last read while not settled
	unsettledRead   bool          // the store was read while not settled
	vouched         Mask          // quarantined own fractions that nobody else can be using
	known           bool          // the store was read
	confirmedAt     time.Duration // last time as of which no newer assignment existed
	confirmed       bool
	quarantineUntil time.Duration // end of the quarantine
	draining        bool
}

// NewAssignmentManager returns the manager of a process that started to listen on address at the
// time started. storeIsNew tells that the store has never held an assignment before.
func NewAssignmentManager(address string, started time.Duration, storeIsNew bool) *AssignmentManager {
	return &AssignmentManager{address: address, started: started, storeIsNew: storeIsNew}
}

// Observe applies an assignment as read or written. Versions that are not newer are ignored.
func (m *AssignmentManager) Observe(now time.Duration, a Assignment, version uint64) {
	if version <= m.version || storeversion.Era(version) < m.era {
		return
	}
	m.enterEra(storeversion.Era(version))
	m.version, m.writeVersion = version, version
	if a.Era != m.era {
		m.readUnsettled(a)
		return
	}
	m.adopt(now, a)
}

// ObserveAbsent records that the store has no assignment in an era. Unless the store is new, it may have lost one.
func (m *AssignmentManager) ObserveAbsent(era uint64) {
	if m.eraKnown && era <= m.era {
		return
	}
	mayHaveLost := m.eraKnown || era > 0 && !m.storeIsNew
	m.enterEra(era)
	m.writeVersion = 0
	if mayHaveLost {
		m.readUnsettled(Assignment{})
		return
	}
	m.assignment, m.settled = Assignment{Era: era}, true
}

func (m *AssignmentManager) enterEra(era uint64) {
	if !m.eraKnown || era > m.era {
		m.era, m.eraKnown, m.settled, m.unsettledRead = era, true, false, false
	}
}

func (m *AssignmentManager) readUnsettled(a Assignment) {
	m.settled, m.unsettled, m.unsettledRead = false, a, true
}

// adopt brings an assignment of the current era into force.
func (m *AssignmentManager) adopt(now time.Duration, a Assignment) {
	usable, _ := m.Usable(now)
	before, own := m.assignment.holdingOf(m.address), a.holdingOf(m.address)
	newlyQuarantined := own.Quarantined &^ before.Quarantined
	switch {
	case m.isSettlement(a):
		m.vouched = own.Quarantined & usable
		newlyQuarantined = own.Quarantined &^ m.vouched
	case m.hasExpired(now):
		// Fractions may have moved away and back unnoticed.
		m.vouched = 0
		newlyQuarantined = own.Quarantined
	}
	if newlyQuarantined != 0 {
		m.quarantineUntil = now + quarantineTerm
	}
	m.vouched &= own.Quarantined
	m.assignment, m.settled, m.unsettledRead = a, true, false
}

func (m *AssignmentManager) hasExpired(now time.Duration) bool {
	return m.confirmed && now >= m.confirmedAt+ConfirmationTerm
}

// isSettlement reports whether an assignment does not simply follow the one in force: the store came back from a copy, or
// executed a late write, in between.
func (m *AssignmentManager) isSettlement(a Assignment) bool {
	hasEarlier := m.confirmed || m.assignment.Holdings != nil
	return m.unsettledRead || hasEarlier && (a.Era != m.assignment.Era || a.Settlement != m.assignment.Settlement)
}

// ConfirmCurrent records that the last observed assignment was the newest as of the given time, in an era of the store.
func (m *AssignmentManager) ConfirmCurrent(asOf time.Duration, era uint64) {
	m.known = true
	if !m.eraKnown {
		m.ObserveAbsent(era)
	}
	if !m.settled || era != m.era {
		return
	}
	if !m.confirmed || asOf > m.confirmedAt {
		m.confirmedAt, m.confirmed = asOf, true
	}
}

// Known reports whether an assignment, or its absence, has been read.
func (m *AssignmentManager) Known() bool {
	return m.known
}

// Version returns the version of the last observed assignment, or 0 if there is none.
func (m *AssignmentManager) Version() uint64 {
	return m.version
}

// WriteVersion returns the version on condition of which the next assignment is to be written; 0 stands for its absence.
func (m *AssignmentManager) WriteVersion() uint64 {
	return m.writeVersion
}

// Holders returns the holders in the assignment in force.
func (m *AssignmentManager) Holders() []string {
	return m.assignment.Addresses()
}

// Usable returns the fractions that may be used or lent now, and until when. It returns none while
// loans of an earlier process at this address may be open.
func (m *AssignmentManager) Usable(now time.Duration) (Mask, time.Duration) {
	until := m.confirmedAt + ConfirmationTerm
	if !m.confirmed || m.draining || now >= until || now < m.RestEnd() {
		return 0, 0
	}
	own := m.assignment.holdingOf(m.address)
	return own.Fractions &^ (own.Quarantined &^ m.vouched) &^ own.Returning, until
}

// RestEnd returns until when this process uses no fractions, since an earlier process at its address may have lent them. That
// other instances have started too doesn't shorten it: see docs/design/common-start.md.
func (m *AssignmentManager) RestEnd() time.Duration {
	return m.started + lenderLoanTerm
}

// Drain stops the use of all fractions; Plan then releases them.
func (m *AssignmentManager) Drain() {
	m.draining = true
}

// Drained reports whether this process is draining and has no fraction left in the assignment.
func (m *AssignmentManager) Drained() bool {
	return m.draining && m.assignment.holdingOf(m.address).Fractions == 0
}

// Members is what this instance knows about the others.
type Members struct {
	Live        []string // peer addresses of the reachable instances, this one included
	Unreachable []string // lost holders, see LostHolders
	// Planner is set if this instance assigns fractions to all. Two planners are harmless, since
	// writes are conditional, but cost calls.
	Planner bool
}

// Plan returns the assignment to write on top of WriteVersion, or false if no change is needed. lent are
// the fractions with open loans in any shard.
func (m *AssignmentManager) Plan(now time.Duration, members Members, lent Mask) (Assignment, bool) {
	if !m.settled {
		return m.planSettlement(members)
	}
	if !m.confirmed {
		return Assignment{}, false
	}
	plan := newAssignmentPlan(m.assignment)
	plan.endQuarantine(m.address, m.vouched)
	mayRelease := now >= m.RestEnd() // an earlier process at this address has lent nothing any more
	switch {
	case m.draining && !mayRelease:
		return Assignment{}, false
	case m.draining:
		plan.release(m.address, allFractions, lent)
		return plan.result(m.assignment)
	case mayRelease:
		plan.release(m.address, m.assignment.holdingOf(m.address).Returning, lent)
	}
	if now >= m.quarantineUntil {
		plan.endQuarantine(m.address, allFractions)
	}
	if members.Planner {
		m.assign(now, plan, members)
	}
	return plan.result(m.assignment)
}

// planSettlement returns the assignment that the planner settles on in an era without one: the one in force here, or else the
// one in the store.
func (m *AssignmentManager) planSettlement(members Members) (Assignment, bool) {
	if !members.Planner || m.draining || !m.unsettledRead {
		return Assignment{}, false
	}
	next := m.unsettled
	if m.confirmed || m.assignment.Holdings != nil {
		next = m.assignment
	}
	plan := newAssignmentPlan(next)
	plan.quarantineAll()
	settled, _ := plan.result(next)
	settled.Era, settled.Settlement = m.era, max(m.assignment.Settlement, m.unsettled.Settlement)+1
	settled.Unproven = allFractions &^ settled.assigned()
	return settled, true
}

// assign distributes unassigned fractions and those of unreachable holders, and asks instances with
// more than their share for fractions if there are instances without any.
func (m *AssignmentManager) assign(now time.Duration, plan *assignmentPlan, members Members) {
	live := max(len(members.Live), 1)
	share := (FractionCount + live - 1) / live
	limit := share
	if now < m.started+initialShareTerm {
		limit = min(share, FractionCount/initialShareDivisor)
	}
	plan.distribute(members.Live, allFractions&^m.assignment.assigned(), m.assignment.Unproven, limit)
	if 2*len(members.Unreachable) <= len(m.assignment.Holdings) {
		// An instance that reaches less than half of the holders is probably isolated itself.
		lost := plan.removeHolders(members.Unreachable)
		plan.distribute(members.Live, lost, lost, share)
	}
	plan.requestSurplus(members.Live, share)
}

// assignmentPlan is an assignment under construction.
type assignmentPlan struct {
	holdings map[string]Holding
}

func newAssignmentPlan(a Assignment) *assignmentPlan {
	p := &assignmentPlan{holdings: make(map[string]Holding, len(a.Holdings))}
	for _, h := range a.Holdings {
		p.holdings[h.Address] = h
	}
	return p
}

// endQuarantine lets an instance use the given fractions.
func (p *assignmentPlan) endQuarantine(address string, fractions Mask) {
	if h, ok := p.holdings[address]; ok {
		h.Quarantined &^= fractions
		p.holdings[address] = h
	}
}

func (p *assignmentPlan) quarantineAll() {
	for address, h := range p.holdings {
		h.Quarantined, h.Returning = h.Fractions, 0
		p.holdings[address] = h
	}
}

// release gives back those of the given fractions that an instance holds and has not lent. It keeps
// quarantined ones: they were not used here, but an earlier holder may still use them, so their next
// holder must quarantine them again, which it would not do with unassigned ones. They stay assigned
// until another instance takes them over.
func (p *assignmentPlan) release(address string, fractions, lent Mask) {
	h, ok := p.holdings[address]
	if !ok {
		return
	}
	h.Fractions &^= fractions &^ h.Quarantined &^ lent
	h.Returning &= h.Fractions
	p.holdings[address] = h
}

// distribute assigns fractions one by one to the instance with the fewest, up to a limit for each.
// Those in quarantined start their quarantine there.
func (p *assignmentPlan) distribute(live []string, fractions, quarantined Mask, limit int) {
	for fractions != 0 {
		address, ok := p.withFewestFractions(live, limit)
		if !ok {
			return
		}
		bit := fractions.lowest(1)
		fractions &^= bit
		h := p.holdings[address]
		h.Address = address
		h.Fractions |= bit
		h.Quarantined |= bit & quarantined
		p.holdings[address] = h
	}
}

// withFewestFractions returns the instance with the fewest fractions, or false if none is below the
// limit.
func (p *assignmentPlan) withFewestFractions(live []string, limit int) (string, bool) {
	best, fewest := "", limit
	for _, address := range live {
		if n := p.holdings[address].Fractions.Count(); n < fewest || n == fewest && n < limit && address < best {
			best, fewest = address, n
		}
	}
	return best, best != ""
}

// removeHolders removes holders from the plan and returns their fractions.
func (p *assignmentPlan) removeHolders(holders []string) Mask {
	var out Mask
	for _, address := range holders {
		out |= p.holdings[address].Fractions
		delete(p.holdings, address)
	}
	return out
}

// requestSurplus asks holders for fractions beyond the share, as many as instances without fractions
// need.
func (p *assignmentPlan) requestSurplus(live []string, share int) {
	wanted := 0
	for _, address := range live {
		if p.holdings[address].Fractions == 0 {
			wanted += share
		}
	}
	for _, h := range p.holdings {
		wanted -= h.Returning.Count()
	}
	for _, address := range live {
		h := p.holdings[address]
		kept := h.Fractions &^ h.Returning
		asked := (kept &^ h.Quarantined).lowest(min(kept.Count()-share, wanted))
		if asked != 0 {
			h.Returning |= asked
			p.holdings[address] = h
			wanted -= asked.Count()
		}
	}
}

// result returns the new assignment, and whether it differs from the one before.
func (p *assignmentPlan) result(before Assignment) (Assignment, bool) {
	next := Assignment{Era: before.Era, Settlement: before.Settlement}
	for _, address := range slices.Sorted(maps.Keys(p.holdings)) {
		if h := p.holdings[address]; h.Fractions != 0 {
			next.Holdings = append(next.Holdings, h)
		}
	}
	next.Unproven = before.Unproven &^ next.assigned()
	sorted := slices.SortedFunc(slices.Values(before.Holdings), func(a, b Holding) int { return strings.Compare(a.Address, b.Address) })
	return next, !slices.Equal(sorted, next.Holdings)
}
