package quota

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// AssignmentKey is the object in the platform's store that holds the Assignment.
const AssignmentKey = "quota/assignment"

const (
	// ConfirmationTerm is how long a holder uses its fractions after the time as of which it has proven that no
	// newer assignment existed.
	ConfirmationTerm = 8500 * time.Millisecond
	// quarantineTerm is how long fractions rest that another holder had: it may use them until its last proof
	// has expired, and what it has lent by then until the end of the loan.
	quarantineTerm = time.Duration(clockMarginFactor*float64(ConfirmationTerm)) + lenderLoanTerm
	// initialShareTerm is how long after its start an instance claims only a first share, because it may not know
	// the others that start with it.
	initialShareTerm = 3 * time.Second
	// UnreachableTerm is how long a holder has to be unreachable before its fractions are given to others. Fractions
	// that move rest for about ten seconds, so that it has to outlast a partition that heals by itself.
	UnreachableTerm = 15 * time.Second
)

// initialShareDivisor bounds what an instance is given while the planner, right after its start, may not know the others yet.
const initialShareDivisor = 8

// Holding is what one holder has in an assignment.
type Holding struct {
	Address   string `json:"address"` // peer address
	Fractions Mask   `json:"fractions"`
	// Quarantined are those of Fractions that an earlier holder may still be using.
	Quarantined Mask `json:"resting,omitempty"`
}

// Assignment says which instance holds which fraction of every account. Holders watch it in place of renewing
// their claims, so that a lost holder's fractions are free after seconds.
type Assignment struct {
	Holdings []Holding `json:"tenants"` // the name in objects that instances of earlier builds read
}

// DecodeAssignment reads an assignment and checks that no fraction has two holders.
func DecodeAssignment(data []byte) (Assignment, error) {
	var a Assignment
	if err := json.Unmarshal(data, &a); err != nil {
		return Assignment{}, errors.Wrapf(err, "decode %s; delete the object once every instance is stopped", AssignmentKey)
	}
	var all Mask
	for _, t := range a.Holdings {
		if all&t.Fractions != 0 {
			return Assignment{}, errors.Newf("%s gives a fraction to two holders; delete the object once every instance is stopped", AssignmentKey)
		}
		all |= t.Fractions
	}
	return a, nil
}

// Encode writes the assignment as JSON.
func (a Assignment) Encode() ([]byte, error) {
	data, err := json.Marshal(a)
	return data, errors.Wrapf(err, "encode %s", AssignmentKey)
}

// Addresses returns the holders.
func (a Assignment) Addresses() []string {
	out := make([]string, 0, len(a.Holdings))
	for _, t := range a.Holdings {
		out = append(out, t.Address)
	}
	return out
}

func (a Assignment) assigned() Mask {
	var all Mask
	for _, t := range a.Holdings {
		all |= t.Fractions
	}
	return all
}

func (a Assignment) holdingOf(address string) Holding {
	for _, t := range a.Holdings {
		if t.Address == address {
			return t
		}
	}
	return Holding{Address: address}
}

// AssignmentManager decides which fractions this process holds by a watched assignment. The driver calls Observe with each
// assignment, Proven with each proof that it is the newest, asks Plan for a change, and writes it on the condition
// that the version is unchanged. Times are of a clock that goes on while the machine is suspended.
//
// A fraction that another instance has held is used only quarantineTerm after the assignment that moved it was
// observed. That instance either observes the same assignment and stops, or its proof expires. A fraction that was
// never assigned, or that its holder gave back, is used at once.
type AssignmentManager struct {
	address string
	started time.Duration

	assignment      Assignment
	version         uint64
	confirmedAt     time.Duration // no newer assignment existed then
	confirmed       bool
	quarantineUntil time.Duration // of the resting fractions
	draining        bool
}

// NewAssignmentManager returns the machine of a process that has bound address at the time started.
func NewAssignmentManager(address string, started time.Duration) *AssignmentManager {
	return &AssignmentManager{address: address, started: started}
}

// Observe takes an assignment as read or written. Versions that are not newer are ignored.
func (t *AssignmentManager) Observe(now time.Duration, a Assignment, version uint64) {
	if version <= t.version {
		return
	}
	before := t.assignment.holdingOf(t.address)
	t.assignment, t.version = a, version
	own := a.holdingOf(t.address)
	if own.Quarantined&^before.Quarantined != 0 {
		t.quarantineUntil = now + quarantineTerm
	}
}

// ConfirmCurrent notes that the last assignment observed was the newest as of a time.
func (t *AssignmentManager) ConfirmCurrent(asOf time.Duration) {
	if !t.confirmed || asOf > t.confirmedAt {
		t.confirmedAt, t.confirmed = asOf, true
	}
}

// Known reports whether an assignment, or its absence, was read.
func (t *AssignmentManager) Known() bool {
	return t.confirmed
}

// Version returns the version of the last assignment observed, 0 if there is none.
func (t *AssignmentManager) Version() uint64 {
	return t.version
}

// Holders returns the holders of the last assignment observed.
func (t *AssignmentManager) Holders() []string {
	return t.assignment.Addresses()
}

// Usable returns the fractions that may be used or lent now, and until when. What an earlier process at this
// address has lent is left alone until those loans have ended.
func (t *AssignmentManager) Usable(now time.Duration) (Mask, time.Duration) {
	until := t.confirmedAt + ConfirmationTerm
	if !t.confirmed || t.draining || now >= until || now < t.started+lenderLoanTerm {
		return 0, 0
	}
	own := t.assignment.holdingOf(t.address)
	return own.Fractions &^ own.Quarantined, until
}

// Drain gives up all fractions.
func (t *AssignmentManager) Drain() {
	t.draining = true
}

// Drained reports that the assignment names no fraction of this process.
func (t *AssignmentManager) Drained() bool {
	return t.draining && t.assignment.holdingOf(t.address).Fractions == 0
}

// Members is what the instance knows of the others.
type Members struct {
	Live        []string // peer addresses of the instances that answer, this one included
	Unreachable []string // holders that have not answered for UnreachableTerm
	// Planner tells that this instance assigns fractions to all. Two planners are harmless, since the writes are
	// conditional, but cost calls.
	Planner bool
}

// Plan returns the assignment to write on top of Version, or false if no change is wanted. lent are the fractions
// with open loans in any shard.
func (t *AssignmentManager) Plan(now time.Duration, m Members, lent Mask) (Assignment, bool) {
	if !t.confirmed {
		return Assignment{}, false
	}
	own := t.assignment.holdingOf(t.address)
	if t.draining {
		if now < t.started+lenderLoanTerm {
			return Assignment{}, false // an earlier process at this address may have lent them
		}
	}
	plan := newAssignmentPlan(t.assignment)
	if t.draining {
		plan.release(t.address, lent)
		return plan.result(t.assignment)
	}
	if own.Quarantined != 0 && now >= t.quarantineUntil {
		plan.endQuarantine(t.address)
	}
	if m.Planner {
		t.assign(now, plan, m)
	}
	return plan.result(t.assignment)
}

// assign gives out the fractions that nobody holds and those of holders that are gone, and gives instances without
// any a part of what others have too much.
func (t *AssignmentManager) assign(now time.Duration, plan *assignmentPlan, m Members) {
	live := max(len(m.Live), 1)
	share := (FractionCount + live - 1) / live
	limit := share
	if now < t.started+initialShareTerm {
		limit = min(share, FractionCount/initialShareDivisor)
	}
	plan.distribute(m.Live, allFractions&^t.assignment.assigned(), 0, limit)
	if 2*len(m.Unreachable) <= len(t.assignment.Holdings) {
		// An instance that reaches less than half of the holders is probably cut off itself.
		lost := plan.removeHolders(m.Unreachable)
		plan.distribute(m.Live, lost, lost, share)
	}
	surplus := plan.takeSurplus(m.Live, share)
	plan.distribute(m.Live, surplus, surplus, share)
}

// assignmentPlan is an assignment that is being changed.
type assignmentPlan struct {
	holdings map[string]Holding
}

func newAssignmentPlan(a Assignment) *assignmentPlan {
	p := &assignmentPlan{holdings: make(map[string]Holding, len(a.Holdings))}
	for _, t := range a.Holdings {
		p.holdings[t.Address] = t
	}
	return p
}

// endQuarantine lets an instance use what has rested with it.
func (p *assignmentPlan) endQuarantine(address string) {
	t := p.holdings[address]
	t.Quarantined = 0
	p.holdings[address] = t
}

// release gives back what an instance holds and has not lent. Resting fractions were never used there, but their
// earlier holder may still use them: the next holder has to let them rest again, which a free fraction would not. They
// stay until others take them over.
func (p *assignmentPlan) release(address string, lent Mask) {
	t := p.holdings[address]
	t.Fractions &= t.Quarantined | lent
	p.holdings[address] = t
}

// distribute deals fractions to the instances with the fewest, up to a limit for each. Those in resting rest there.
func (p *assignmentPlan) distribute(live []string, fractions, resting Mask, limit int) {
	for fractions != 0 {
		address, ok := p.withFewestFractions(live, limit)
		if !ok {
			return
		}
		bit := fractions.lowest(1)
		fractions &^= bit
		t := p.holdings[address]
		t.Address = address
		t.Fractions |= bit
		t.Quarantined |= bit & resting
		p.holdings[address] = t
	}
}

// withFewestFractions returns the instance with the fewest fractions, if it has less than the limit.
func (p *assignmentPlan) withFewestFractions(live []string, limit int) (string, bool) {
	best, fewest := "", limit
	for _, address := range live {
		if n := p.holdings[address].Fractions.Count(); n < fewest || n == fewest && n < limit && address < best {
			best, fewest = address, n
		}
	}
	return best, best != ""
}

// removeHolders takes all fractions of some holders.
func (p *assignmentPlan) removeHolders(holders []string) Mask {
	var out Mask
	for _, address := range holders {
		out |= p.holdings[address].Fractions
		delete(p.holdings, address)
	}
	return out
}

// takeSurplus takes what exceeds the share of those with too much, as far as instances without any need it.
func (p *assignmentPlan) takeSurplus(live []string, share int) Mask {
	wanted := 0
	for _, address := range live {
		if p.holdings[address].Fractions == 0 {
			wanted++
		}
	}
	var out Mask
	for _, address := range live {
		t := p.holdings[address]
		moved := t.Fractions.lowest(min(t.Fractions.Count()-share, wanted*share-out.Count()))
		t.Fractions &^= moved
		t.Quarantined &^= moved
		out |= moved
		if moved != 0 {
			p.holdings[address] = t
		}
	}
	return out
}

// result returns the assignment if it differs from the one before.
func (p *assignmentPlan) result(before Assignment) (Assignment, bool) {
	var next Assignment
	for _, address := range slices.Sorted(maps.Keys(p.holdings)) {
		if t := p.holdings[address]; t.Fractions != 0 {
			next.Holdings = append(next.Holdings, t)
		}
	}
	sorted := slices.SortedFunc(slices.Values(before.Holdings), func(a, b Holding) int { return strings.Compare(a.Address, b.Address) })
	return next, !slices.Equal(sorted, next.Holdings)
}
