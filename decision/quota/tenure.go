package quota

import (
	"encoding/json"
	"slices"
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

// Tenant is one holder in an assignment.
type Tenant struct {
	Address   string `json:"address"` // peer address
	Fractions Mask   `json:"fractions"`
	// Resting are those of Fractions that an earlier holder may still be using.
	Resting Mask `json:"resting,omitempty"`
}

// Assignment says which instance holds which fraction of every account. Holders watch it in place of renewing
// their claims, so that a lost holder's fractions are free after seconds.
type Assignment struct {
	Tenants []Tenant `json:"tenants"`
}

// DecodeAssignment reads an assignment and checks that no fraction has two holders.
func DecodeAssignment(data []byte) (Assignment, error) {
	var a Assignment
	if err := json.Unmarshal(data, &a); err != nil {
		return Assignment{}, errors.Wrapf(err, "decode %s; delete the object once every instance is stopped", AssignmentKey)
	}
	var all Mask
	for _, t := range a.Tenants {
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
	out := make([]string, 0, len(a.Tenants))
	for _, t := range a.Tenants {
		out = append(out, t.Address)
	}
	return out
}

func (a Assignment) assigned() Mask {
	var all Mask
	for _, t := range a.Tenants {
		all |= t.Fractions
	}
	return all
}

func (a Assignment) of(address string) Tenant {
	for _, t := range a.Tenants {
		if t.Address == address {
			return t
		}
	}
	return Tenant{Address: address}
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
	Live int      // instances that answer, this one included
	Gone []string // holders that have not answered for GoneTerm
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
		return t.release(own, lent)
	}
	planned := own
	if own.Resting != 0 && now >= t.restUntil {
		planned.Resting = 0
	}
	next := Assignment{Tenants: slices.Clone(t.assignment.Tenants)}
	share := (FractionCount + m.Live - 1) / max(m.Live, 1)
	planned = t.claimFree(now, planned, share)
	if 2*len(m.Gone) <= len(t.assignment.Tenants) {
		// An instance that reaches less than half of the holders is probably cut off itself.
		planned = claimGone(&next, planned, share, m.Gone)
	}
	if planned.Fractions == 0 {
		planned = claimFullest(&next, planned, share)
	}
	if planned == own {
		return Assignment{}, false
	}
	return next.with(planned), true
}

// release gives back what is not lent any more.
func (t *Tenure) release(own Tenant, lent Mask) (Assignment, bool) {
	// Resting fractions were never used here, but their earlier holder may still use them: the next holder
	// has to let them rest again, which a free fraction would not. They stay until others take them over.
	free := own.Fractions &^ own.Resting &^ lent
	if free == 0 {
		return Assignment{}, false
	}
	own.Fractions &^= free
	return t.assignment.with(own), true
}

// claimFree takes free fractions up to the share. An instance with more would strand more when it is lost.
func (t *Tenure) claimFree(now time.Duration, own Tenant, share int) Tenant {
	if now < t.started+leftoverTerm {
		share = min(share, FractionCount/firstShare)
	}
	free := allFractions &^ t.assignment.assigned()
	own.Fractions |= free.lowest(share - own.Fractions.Count())
	return own
}

// firstShare bounds what an instance claims right after its start, when it may not know the others yet.
const firstShare = 8

// claimGone takes fractions of holders that are gone, up to the share.
func claimGone(a *Assignment, own Tenant, share int, gone []string) Tenant {
	for i := range a.Tenants {
		holder := &a.Tenants[i]
		if holder.Address == own.Address || !slices.Contains(gone, holder.Address) {
			continue
		}
		own = move(holder, own, share-own.Fractions.Count())
	}
	return own
}

// claimFullest takes fractions of the holder with the most of them, for an instance that has none.
func claimFullest(a *Assignment, own Tenant, share int) Tenant {
	if len(a.Tenants) == 0 {
		return own
	}
	fullest := slices.MaxFunc(a.Tenants, func(x, y Tenant) int {
		return x.Fractions.Count() - y.Fractions.Count()
	})
	i := slices.IndexFunc(a.Tenants, func(x Tenant) bool { return x.Address == fullest.Address })
	surplus := fullest.Fractions.Count() - share
	return move(&a.Tenants[i], own, min(surplus, share))
}

// move moves up to n fractions to another holder, where they rest.
func move(from *Tenant, to Tenant, n int) Tenant {
	moved := from.Fractions.lowest(n)
	from.Fractions &^= moved
	from.Resting &^= moved
	to.Fractions |= moved
	to.Resting |= moved
	return to
}

// with returns a copy with one holder's part replaced. Holders without fractions are left out.
func (a Assignment) with(own Tenant) Assignment {
	out := Assignment{}
	for _, t := range a.Tenants {
		if t.Address != own.Address && t.Fractions != 0 {
			out.Tenants = append(out.Tenants, t)
		}
	}
	if own.Fractions != 0 {
		out.Tenants = append(out.Tenants, own)
	}
	return out
}
