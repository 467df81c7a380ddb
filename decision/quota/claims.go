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
	// extraClaimDelay is the mean time after which an instance claims free fractions beyond its
	// share, so that starting instances can claim theirs first.
	extraClaimDelay = 10 * time.Second
	// renewJitter spreads renewals by up to this proportion of their period.
	renewJitter = 0.1
)

// Claim is the part of the record that one process has written.
type Claim struct {
	Address   string `json:"address"`        // peer address that the process listens on
	Process   uint64 `json:"process,string"` // random number of the process
	Renewal   uint64 `json:"renewal"`        // grows with every write of this process
	Fractions Mask   `json:"fractions"`
}

// Record lists which process holds which fractions of every account.
type Record struct {
	Claims []Claim `json:"claims"`
}

// MarshalJSON encodes the set as a hexadecimal string, since JSON numbers are exact up to 53 bits
// only.
func (m Mask) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatUint(uint64(m), 16))
}

// UnmarshalJSON decodes a hexadecimal string.
func (m *Mask) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode a set of fractions")
	}
	v, err := strconv.ParseUint(s, 16, 64)
	*m = Mask(v)
	return errors.Wrap(err, "decode a set of fractions")
}

// DecodeRecord decodes a record and checks that no fraction has two holders.
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

// Encode encodes the record as JSON.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrapf(err, "encode %s", RecordKey)
}

// Holders returns the peer addresses of the processes that hold fractions.
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

// observedRenewal is the last renewal seen of another process, and when it was first seen.
type observedRenewal struct {
	renewal uint64
	since   time.Duration
}

// ClaimManager decides which fractions this process holds by claims that it renews. The driver
// reads the record and calls Observe, calls Plan for a change, writes it on condition that the
// version is unchanged, and calls Observe with what it wrote. If the outcome of a write is unknown,
// it reads the record again before the next Plan.
type ClaimManager struct {
	address string
	process uint64
	started time.Duration
	random  *rand.Rand

	record           Record
	version          uint64
	observedRenewals map[uint64]observedRenewal
	plannedWrites    map[uint64]time.Duration // by renewal: when its write was planned

	renewal      uint64 // of the last planned write
	confirmed    uint64 // renewal of the last own write seen in the record
	held         Mask
	heldUntil    time.Duration
	inherited    Mask // taken over from an earlier process at this address
	releasing    Mask // no longer used, still in the record
	renewAt      time.Duration
	extraClaimAt time.Duration
	draining     bool
}

// NewClaimManager returns the manager of a process that started to listen on address at the time
// started.
func NewClaimManager(address string, process uint64, started time.Duration, random *rand.Rand) *ClaimManager {
	return &ClaimManager{
		address: address, process: process, started: started, random: random,
		observedRenewals: map[uint64]observedRenewal{}, plannedWrites: map[uint64]time.Duration{},
		extraClaimAt: started + jitter(random, extraClaimDelay, 0.5),
	}
}

// jitter returns d changed by up to the given proportion in either direction.
func jitter(random *rand.Rand, d time.Duration, part float64) time.Duration {
	return d + time.Duration(part*(2*random.Float64()-1)*float64(d))
}

// Observe applies a record as read or written; now is the time after the answer arrived. Versions
// older than the last one observed are ignored.
func (m *ClaimManager) Observe(now time.Duration, r Record, version uint64) {
	if version < m.version {
		return
	}
	m.record, m.version = r, version
	m.observeOthers(now)
	m.observeOwn()
}

func (m *ClaimManager) observeOthers(now time.Duration) {
	seen := make(map[uint64]observedRenewal, len(m.record.Claims))
	for _, c := range m.record.Claims {
		s, ok := m.observedRenewals[c.Process]
		if !ok || s.renewal != c.Renewal {
			s = observedRenewal{renewal: c.Renewal, since: now}
		}
		seen[c.Process] = s
	}
	m.observedRenewals = seen
}

func (m *ClaimManager) observeOwn() {
	own := m.findOwnClaim()
	sent, known := m.plannedWrites[own.Renewal]
	m.held = own.Fractions
	if !known {
		m.held = 0
	}
	m.heldUntil = sent + HoldTerm
	if known && own.Renewal != m.confirmed {
		m.confirmed = own.Renewal
		m.renewAt = sent + jitter(m.random, RenewPeriod, renewJitter)
	}
	m.releasing &= m.held
	m.inherited &= m.held
	for renewal := range m.plannedWrites {
		if renewal < own.Renewal {
			delete(m.plannedWrites, renewal)
		}
	}
}

func (m *ClaimManager) findOwnClaim() Claim {
	for _, c := range m.record.Claims {
		if c.Process == m.process {
			return c
		}
	}
	return Claim{}
}

// Version returns the version of the last record observed.
func (m *ClaimManager) Version() uint64 {
	return m.version
}

// Complete reports whether every fraction has a holder in the last record observed.
func (m *ClaimManager) Complete() bool {
	return m.record.claimed() == allFractions
}

// Holders returns the peer addresses in the last record observed.
func (m *ClaimManager) Holders() []string {
	return m.record.Holders()
}

// Usable returns the fractions that may be used or lent now, and until when.
func (m *ClaimManager) Usable(now time.Duration) (Mask, time.Duration) {
	if now >= m.heldUntil {
		return 0, 0
	}
	return m.held &^ m.releasing &^ m.quarantined(now), m.heldUntil
}

// quarantined returns the fractions that an earlier process at this address may have lent.
func (m *ClaimManager) quarantined(now time.Duration) Mask {
	if now < m.started+lenderLoanTerm {
		return m.inherited
	}
	return 0
}

// NextAt returns when Plan may want a change without a new observation. A time in the past means
// now.
func (m *ClaimManager) NextAt() time.Duration {
	if m.releasing != 0 {
		return 0
	}
	if !m.draining && m.record.claimed() != allFractions {
		return min(m.renewAt, m.extraClaimAt)
	}
	return m.renewAt
}

// Drain stops the use and the claiming of fractions. Plan removes them from the record once no loan
// of them is open.
func (m *ClaimManager) Drain() {
	m.draining = true
	m.releasing = m.held
}

// Drained reports whether this process is draining and has no fraction left in the record.
func (m *ClaimManager) Drained() bool {
	return m.draining && m.held == 0
}

// Plan returns the record to write on top of Version, or false if no change is needed. instances is
// the number of listed instances that are not leaving, this one included. lent are the fractions
// with open loans in any shard. It must be read after the current Usable was applied to every
// shard; otherwise a fraction that is removed from the record could still be in use.
func (m *ClaimManager) Plan(now time.Duration, instances int, lent Mask) (Record, bool) {
	instances = max(instances, 1)
	released := m.releasing &^ lent &^ m.quarantined(now)
	if m.draining {
		m.releasing = m.held
	} else if m.held != 0 && now >= m.renewAt {
		m.releaseExcess(now, instances)
	}
	kept, takenOver := m.otherClaims(now)
	free := allFractions &^ Record{Claims: kept}.claimed() &^ takenOver &^ m.held
	own := m.held &^ released
	if !m.draining {
		own |= takenOver
		own |= m.claim(now, instances, own, free)
	}
	due := now >= m.renewAt
	if due && own == 0 {
		m.renewAt = now + jitter(m.random, RenewPeriod, renewJitter)
	}
	if own == m.held && takenOver == 0 && (own == 0 || !due) {
		return Record{}, false
	}
	m.inherited |= takenOver
	return m.planWrite(now, kept, own), true
}

// otherClaims returns the claims of other processes to keep, and the fractions to take over from
// earlier processes at this address. Claims that were not renewed in time are dropped.
func (m *ClaimManager) otherClaims(now time.Duration) (kept []Claim, takenOver Mask) {
	for _, c := range m.record.Claims {
		switch {
		case c.Process == m.process:
		case c.Address == m.address && !m.draining:
			takenOver |= c.Fractions
		case now-m.observedRenewals[c.Process].since >= claimExpiryTerm:
		default:
			kept = append(kept, c)
		}
	}
	return kept, takenOver
}

// claim returns the free fractions to claim: up to the share of this instance at once, and after a
// delay some of the others, since other instances may be about to claim theirs.
func (m *ClaimManager) claim(now time.Duration, instances int, own, free Mask) Mask {
	share := FractionCount / instances
	taken := free.lowest(share - own.Count())
	rest := free &^ taken
	if rest == 0 || now < m.extraClaimAt {
		return taken
	}
	m.extraClaimAt = now + jitter(m.random, extraClaimDelay, 0.5)
	return taken | rest.lowest((rest.Count()+instances-1)/instances)
}

// releaseExcess releases the fractions beyond the share. Otherwise a process that claimed while
// other instances were not listed yet would keep them.
func (m *ClaimManager) releaseExcess(now time.Duration, instances int) {
	share := (FractionCount + instances - 1) / instances
	own := m.held &^ m.releasing
	excess := own.lowest(own.Count() - share)
	m.releasing |= excess
	if excess != 0 {
		m.extraClaimAt = now + jitter(m.random, extraClaimDelay, 0.5)
	}
}

func (m *ClaimManager) planWrite(now time.Duration, kept []Claim, own Mask) Record {
	m.renewal++
	m.plannedWrites[m.renewal] = now
	claims := slices.Clone(kept)
	if own != 0 {
		claims = append(claims, Claim{Address: m.address, Process: m.process, Renewal: m.renewal, Fractions: own})
	}
	return Record{Claims: claims}
}
