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
	// ProofTerm is how long a holder uses its fractions after the time as of which it has proven that no
	// newer assignment existed.
	ProofTerm = 8500 * time.Millisecond
	// handoverTerm is how long fractions rest that another holder had: it may use them until its last proof
	// has expired, and what it has lent by then until the end of the loan.
	handoverTerm = time.Duration(waitFactor*float64(ProofTerm)) + promiseTerm
	// leftoverTerm is how long after its start an instance claims only a first share, because it may not know
	// the others that start with it.
	leftoverTerm = 3 * time.Second
	// GoneTerm is how long a holder has to be unreachable before its fractions are given to others. Fractions
	// that move rest for about ten seconds, so that it has to outlast a partition that heals by itself.
	GoneTerm = 15 * time.Second
)

// firstShare bounds what an instance is given while the planner, right after its start, may not know the others yet.
const firstShare = 8

// Holding is what one holder has in an assignment.
type Holding struct {
	Address   string `json:"address"` // peer address
	Fractions Mask   `json:"fractions"`
	// Resting are those of Fractions that an earlier holder may still be using.
	Resting Mask `json:"resting,omitempty"`
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

func (a Assignment) of(address string) Holding {
	for _, t := range a.Holdings {
		if t.Address == address {
			return t
		}
	}
	return Holding{Address: address}
}

// Tenure decides which fractions this process holds by a watched assignment. The driver calls Observe with each
// assignment, Proven with each proof that it is the newest, asks Plan for a change, and writes it on the condition
// that the version is unchanged. Times are of a clock that goes on while the machine is suspended.
//
// A fraction that another instance has held is used only handoverTerm after the assignment that moved it was
// observed. That instance either observes the same assignment and stops, or its proof expires. A fraction that was
// never assigned, or that its holder gave back, is used at once.
type Tenure struct {
	address string
	started time.Duration

	assignment Assignment
	version    uint64
	asOf       time.Duration // no newer assignment existed then
	proven     bool
	restUntil  time.Duration // of the resting fractions
	draining   bool
}

// NewTenure returns the machine of a process that has bound address at the time started.
func NewTenure(address string, started time.Duration) *Tenure {
	return &Tenure{address: address, started: started}
}

// Observe takes an assignment as read or written. Versions that are not newer are ignored.
func (t *Tenure) Observe(now time.Duration, a Assignment, version uint64) {
	if version <= t.version {
		return
	}
	before := t.assignment.of(t.address)
	t.assignment, t.version = a, version
	own := a.of(t.address)
	if own.Resting&^before.Resting != 0 {
		t.restUntil = now + handoverTerm
	}
}

// Proven notes that the last assignment observed was the newest as of a time.
func (t *Tenure) Proven(asOf time.Duration) {
	if !t.proven || asOf > t.asOf {
		t.asOf, t.proven = asOf, true
	}
}

// Known reports whether an assignment, or its absence, was read.
func (t *Tenure) Known() bool {
	return t.proven
}

// Version returns the version of the last assignment observed, 0 if there is none.
func (t *Tenure) Version() uint64 {
	return t.version
}

// Holders returns the holders of the last assignment observed.
func (t *Tenure) Holders() []string {
	return t.assignment.Addresses()
}

// Usable returns the fractions that may be used or lent now, and until when. What an earlier process at this
// address has lent is left alone until those loans have ended.
func (t *Tenure) Usable(now time.Duration) (Mask, time.Duration) {
	until := t.asOf + ProofTerm
	if !t.proven || t.draining || now >= until || now < t.started+promiseTerm {
		return 0, 0
	}
	own := t.assignment.of(t.address)
	return own.Fractions &^ own.Resting, until
}

// Drain gives up all fractions.
func (t *Tenure) Drain() {
	t.draining = true
}

// Drained reports that the assignment names no fraction of this process.
func (t *Tenure) Drained() bool {
	return t.draining && t.assignment.of(t.address).Fractions == 0
}

// Members is what the instance knows of the others.
type Members struct {
	Live []string // peer addresses of the instances that answer, this one included
	Gone []string // holders that have not answered for GoneTerm
	// Planner tells that this instance assigns fractions to all. Two planners are harmless, since the writes are
	// conditional, but cost calls.
	Planner bool
}

// Plan returns the assignment to write on top of Version, or false if no change is wanted. lent are the fractions
// with open loans in any shard.
func (t *Tenure) Plan(now time.Duration, m Members, lent Mask) (Assignment, bool) {
	if !t.proven {
		return Assignment{}, false
	}
	own := t.assignment.of(t.address)
	if t.draining {
		if now < t.started+promiseTerm {
			return Assignment{}, false // an earlier process at this address may have lent them
		}
	}
	plan := newAssignmentPlan(t.assignment)
	if t.draining {
		plan.release(t.address, lent)
		return plan.result(t.assignment)
	}
	if own.Resting != 0 && now >= t.restUntil {
		plan.rested(t.address)
	}
	if m.Planner {
		t.assign(now, plan, m)
	}
	return plan.result(t.assignment)
}

// assign gives out the fractions that nobody holds and those of holders that are gone, and gives instances without
// any a part of what others have too much.
func (t *Tenure) assign(now time.Duration, plan *assignmentPlan, m Members) {
	live := max(len(m.Live), 1)
	share := (FractionCount + live - 1) / live
	limit := share
	if now < t.started+leftoverTerm {
		limit = min(share, FractionCount/firstShare)
	}
	plan.give(m.Live, allFractions&^t.assignment.assigned(), 0, limit)
	if 2*len(m.Gone) <= len(t.assignment.Holdings) {
		// An instance that reaches less than half of the holders is probably cut off itself.
		lost := plan.take(m.Gone)
		plan.give(m.Live, lost, lost, share)
	}
	surplus := plan.surplus(m.Live, share)
	plan.give(m.Live, surplus, surplus, share)
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

// rested lets an instance use what has rested with it.
func (p *assignmentPlan) rested(address string) {
	t := p.holdings[address]
	t.Resting = 0
	p.holdings[address] = t
}

// release gives back what an instance holds and has not lent. Resting fractions were never used there, but their
// earlier holder may still use them: the next holder has to let them rest again, which a free fraction would not. They
// stay until others take them over.
func (p *assignmentPlan) release(address string, lent Mask) {
	t := p.holdings[address]
	t.Fractions &= t.Resting | lent
	p.holdings[address] = t
}

// give deals fractions to the instances with the fewest, up to a limit for each. Those in resting rest there.
func (p *assignmentPlan) give(live []string, fractions, resting Mask, limit int) {
	for fractions != 0 {
		address, ok := p.poorest(live, limit)
		if !ok {
			return
		}
		bit := fractions.lowest(1)
		fractions &^= bit
		t := p.holdings[address]
		t.Address = address
		t.Fractions |= bit
		t.Resting |= bit & resting
		p.holdings[address] = t
	}
}

// poorest returns the instance with the fewest fractions, if it has less than the limit.
func (p *assignmentPlan) poorest(live []string, limit int) (string, bool) {
	best, fewest := "", limit
	for _, address := range live {
		if n := p.holdings[address].Fractions.Count(); n < fewest || n == fewest && n < limit && address < best {
			best, fewest = address, n
		}
	}
	return best, best != ""
}

// take takes all fractions of some holders.
func (p *assignmentPlan) take(holders []string) Mask {
	var out Mask
	for _, address := range holders {
		out |= p.holdings[address].Fractions
		delete(p.holdings, address)
	}
	return out
}

// surplus takes what exceeds the share of those with too much, as far as instances without any need it.
func (p *assignmentPlan) surplus(live []string, share int) Mask {
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
		t.Resting &^= moved
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
