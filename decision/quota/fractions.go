package quota

import (
	"encoding/json"
	"math/rand"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// RecordKey is the object in the platform's store that holds the Record.
const RecordKey = "quota/fractions"

const (
	// extraClaimDelay is the mean time after which an instance claims free fractions above its
	// share. It gives starting instances time to claim their own.
	extraClaimDelay = 10 * time.Second
	// renewJitter spreads renewals by up to this part of their period.
	renewJitter = 0.1
)

// Claim is one process's part of the record.
type Claim struct {
	Address   string `json:"address"`        // peer address that the process has bound
	Process   uint64 `json:"process,string"` // random number of the process
	Renewal   uint64 `json:"renewal"`        // grows with every write of this process
	Fractions Mask   `json:"fractions"`
}

// Record says which process holds which fraction of every account.
type Record struct {
	Claims []Claim `json:"claims"`
}

// MarshalJSON writes the set as a hexadecimal string, since JSON numbers hold 53 bits.
func (m Mask) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatUint(uint64(m), 16))
}

// UnmarshalJSON reads a hexadecimal string.
func (m *Mask) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode a set of fractions")
	}
	v, err := strconv.ParseUint(s, 16, 64)
	*m = Mask(v)
	return errors.Wrap(err, "decode a set of fractions")
}

// DecodeRecord reads a record and checks that no fraction has two holders.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrapf(err, "decode %s; delete the object once every instance is stopped", RecordKey)
	}
	var all Mask
	for _, c := range r.Claims {
		if all&c.Fractions != 0 {
			return Record{}, errors.Newf("%s gives a fraction to two holders; delete the object once every instance is stopped", RecordKey)
		}
		all |= c.Fractions
	}
	return r, nil
}

// Encode writes the record as JSON.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrapf(err, "encode %s", RecordKey)
}

// Holders returns the peer addresses that hold fractions.
func (r Record) Holders() []string {
	out := make([]string, 0, len(r.Claims))
	for _, c := range r.Claims {
		if c.Fractions != 0 && !slices.Contains(out, c.Address) {
			out = append(out, c.Address)
		}
	}
	return out
}

// claimed returns the fractions that have a holder.
func (r Record) claimed() Mask {
	var all Mask
	for _, c := range r.Claims {
		all |= c.Fractions
	}
	return all
}

// observedRenewal is a renewal of another process and when it was first seen.
type observedRenewal struct {
	renewal uint64
	since   time.Duration
}

// ClaimManager decides which fractions this process holds. The driver reads the record and calls
// Observe, asks Plan for a change, writes it on the condition that the version is unchanged, and
// calls Observe with what it wrote. When the outcome of a write is not known, it reads the
// record again before the next Plan.
type ClaimManager struct {
	address string
	process uint64
	started time.Duration
	random  *rand.Rand

	record           Record
	version          uint64
	observedRenewals map[uint64]observedRenewal
	plannedWrites    map[uint64]time.Duration // when the write of a renewal was planned

	renewal      uint64 // of the last write planned
	confirmed    uint64 // renewal of the last write seen in the record
	held         Mask
	heldUntil    time.Duration
	inherited    Mask // taken over from an earlier process at this address
	releasing    Mask // no longer used, still in the record
	renewAt      time.Duration
	extraClaimAt time.Duration
	draining     bool
}

// NewClaimManager returns the machine of a process that has bound address at the time started.
func NewClaimManager(address string, process uint64, started time.Duration, random *rand.Rand) *ClaimManager {
	return &ClaimManager{
		address: address, process: process, started: started, random: random,
		observedRenewals: map[uint64]observedRenewal{}, plannedWrites: map[uint64]time.Duration{},
		extraClaimAt: started + jitter(random, extraClaimDelay, 0.5),
	}
}

// jitter returns d changed by up to the given part in either direction.
func jitter(random *rand.Rand, d time.Duration, part float64) time.Duration {
	return d + time.Duration(part*(2*random.Float64()-1)*float64(d))
}

// Observe takes a record as read or written; now is the time after the answer came. Versions
// below the last one are ignored.
func (f *ClaimManager) Observe(now time.Duration, r Record, version uint64) {
	if version < f.version {
		return
	}
	f.record, f.version = r, version
	f.observeOthers(now)
	f.observeOwn()
}

func (f *ClaimManager) observeOthers(now time.Duration) {
	seen := make(map[uint64]observedRenewal, len(f.record.Claims))
	for _, c := range f.record.Claims {
		s, ok := f.observedRenewals[c.Process]
		if !ok || s.renewal != c.Renewal {
			s = observedRenewal{renewal: c.Renewal, since: now}
		}
		seen[c.Process] = s
	}
	f.observedRenewals = seen
}

func (f *ClaimManager) observeOwn() {
	own := f.findOwnClaim()
	sent, known := f.plannedWrites[own.Renewal]
	f.held = own.Fractions
	if !known {
		f.held = 0
	}
	f.heldUntil = sent + HoldTerm
	if known && own.Renewal != f.confirmed {
		f.confirmed = own.Renewal
		f.renewAt = sent + jitter(f.random, RenewPeriod, renewJitter)
	}
	f.releasing &= f.held
	f.inherited &= f.held
	for renewal := range f.plannedWrites {
		if renewal < own.Renewal {
			delete(f.plannedWrites, renewal)
		}
	}
}

func (f *ClaimManager) findOwnClaim() Claim {
	for _, c := range f.record.Claims {
		if c.Process == f.process {
			return c
		}
	}
	return Claim{}
}

// Version returns the version of the last record observed.
func (f *ClaimManager) Version() uint64 {
	return f.version
}

// Complete reports whether every fraction has a holder in the last record observed.
func (f *ClaimManager) Complete() bool {
	return f.record.claimed() == allFractions
}

// Holders returns the peer addresses in the last record observed.
func (f *ClaimManager) Holders() []string {
	return f.record.Holders()
}

// Usable returns the fractions that may be used or lent now, and until when.
func (f *ClaimManager) Usable(now time.Duration) (Mask, time.Duration) {
	if now >= f.heldUntil {
		return 0, 0
	}
	return f.held &^ f.releasing &^ f.quarantined(now), f.heldUntil
}

// quarantined returns the fractions that an earlier process at this address may have lent.
func (f *ClaimManager) quarantined(now time.Duration) Mask {
	if now < f.started+lenderLoanTerm {
		return f.inherited
	}
	return 0
}

// NextAt returns when Plan may want a change without a new observation. A time that is past
// means now.
func (f *ClaimManager) NextAt() time.Duration {
	if f.releasing != 0 {
		return 0
	}
	if !f.draining && f.record.claimed() != allFractions {
		return min(f.renewAt, f.extraClaimAt)
	}
	return f.renewAt
}

// Drain gives up all fractions: none is used or claimed from now on, and Plan removes them from
// the record once no loan of them is open.
func (f *ClaimManager) Drain() {
	f.draining = true
	f.releasing = f.held
}

// Drained reports that the record names no fraction of this process.
func (f *ClaimManager) Drained() bool {
	return f.draining && f.held == 0
}

// Plan returns the record to write on top of Version, or false if no change is wanted.
// instances is the number of listed instances that don't leave, this one included. lent are the
// fractions with open loans in any shard, read after the present Usable was applied to every
// shard: otherwise a fraction that leaves the record could still be in use.
func (f *ClaimManager) Plan(now time.Duration, instances int, lent Mask) (Record, bool) {
	instances = max(instances, 1)
	released := f.releasing &^ lent &^ f.quarantined(now)
	if f.draining {
		f.releasing = f.held
	} else if f.held != 0 && now >= f.renewAt {
		f.releaseExcess(now, instances)
	}
	kept, takenOver := f.otherClaims(now)
	free := allFractions &^ Record{Claims: kept}.claimed() &^ takenOver &^ f.held
	own := f.held &^ released
	if !f.draining {
		own |= takenOver
		own |= f.claim(now, instances, own, free)
	}
	due := now >= f.renewAt
	if due && own == 0 {
		f.renewAt = now + jitter(f.random, RenewPeriod, renewJitter)
	}
	if own == f.held && takenOver == 0 && (own == 0 || !due) {
		return Record{}, false
	}
	f.inherited |= takenOver
	return f.planWrite(now, kept, own), true
}

// otherClaims returns the claims of other processes that stay, and the fractions to take over from
// earlier processes at this address. Claims that nobody has renewed in time are dropped.
func (f *ClaimManager) otherClaims(now time.Duration) (kept []Claim, takenOver Mask) {
	for _, c := range f.record.Claims {
		switch {
		case c.Process == f.process:
		case c.Address == f.address && !f.draining:
			takenOver |= c.Fractions
		case now-f.observedRenewals[c.Process].since >= claimExpiryTerm:
		default:
			kept = append(kept, c)
		}
	}
	return kept, takenOver
}

// claim returns the free fractions to take: up to the own share at once, and of what is left a
// part after a delay, since other instances may be about to claim theirs.
func (f *ClaimManager) claim(now time.Duration, instances int, own, free Mask) Mask {
	share := FractionCount / instances
	taken := free.lowest(share - own.Count())
	rest := free &^ taken
	if rest == 0 || now < f.extraClaimAt {
		return taken
	}
	f.extraClaimAt = now + jitter(f.random, extraClaimDelay, 0.5)
	return taken | rest.lowest((rest.Count()+instances-1)/instances)
}

// releaseExcess gives up what exceeds the share, so that a process that claimed while others
// were not listed yet does not keep the fractions for good.
func (f *ClaimManager) releaseExcess(now time.Duration, instances int) {
	share := (FractionCount + instances - 1) / instances
	own := f.held &^ f.releasing
	excess := own.lowest(own.Count() - share)
	f.releasing |= excess
	if excess != 0 {
		f.extraClaimAt = now + jitter(f.random, extraClaimDelay, 0.5)
	}
}

func (f *ClaimManager) planWrite(now time.Duration, kept []Claim, own Mask) Record {
	f.renewal++
	f.plannedWrites[f.renewal] = now
	claims := slices.Clone(kept)
	if own != 0 {
		claims = append(claims, Claim{Address: f.address, Process: f.process, Renewal: f.renewal, Fractions: own})
	}
	return Record{Claims: claims}
}
