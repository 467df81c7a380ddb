package quota

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
)

// admitWait bounds how long a statement waits for the pool owner's reply. If an owner fails, the heartbeat
// detects it within a second and its loans end within LoanTerm; a statement within its account's rate
// should wait that long rather than be refused. A reply that no token is left ends the wait immediately.
const admitWait = 2 * time.Second

// quarantineRetryJitter spreads the retries of callers that were refused while fractions were quarantined.
// Buckets are empty at the end of a quarantine, and callers that come for the first time then need most
// of the tokens.
const quarantineRetryJitter = time.Second

// Peers is the view of the other instances. *peer.Set implements it.
type Peers interface {
	// Live returns the peer addresses of the instances that can own a pool, this one included.
	Live() []string
	// Listed returns the peer addresses of all listed instances, this one included.
	Listed() []string
	// ListedCount returns the number of listed instances that are not leaving, or 0 if it is unknown.
	ListedCount() int
}

// PeerClients returns clients for the services of peers. *peer.Client implements it.
type PeerClients interface {
	PeerClient(ctx context.Context, address string) peerpb.DRPCPeerClient
}

// Store is the part of objectstore.Store needed to store the record or the assignment of fractions.
type Store interface {
	Get(ctx context.Context, key string) (objectstore.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
}

// Config configures a Driver.
type Config struct {
	Self        string // peer address on which this process listens
	Store       Store
	Peers       Peers
	PeerClients PeerClients
	Rand        *rand.Rand
	Log         logrus.FieldLogger
	Clock       func() time.Duration // nil: time since boot
	// Tolerance is what accounts may use beyond their limits during failures of instances; the zero
	// value allows nothing.
	Tolerance quota.Tolerance
	// Assignment, if set, makes the driver hold fractions by a watched assignment instead of renewed
	// claims.
	Assignment *AssignmentConfig
	// Process distinguishes this process from earlier and other ones; 0 chooses a random number. Two
	// processes with the same number would use the same fractions.
	Process uint64
}

// Stats holds counters since the driver was created.
type Stats struct {
	Admitted, Refused                       uint64 // statements
	GrantRequests, LoanRequests, HandBacks  uint64 // calls sent to peers
	GrantRequestsFailed, LoanRequestsFailed uint64
	StoreReads, StoreWrites                 uint64
	Waited                                  uint64 // statements that waited for a grant
}

// counters holds the fields of Stats.
type counters struct {
	admitted, refused, waited               atomic.Uint64
	grantRequests, loanRequests, handBacks  atomic.Uint64
	grantRequestsFailed, loanRequestsFailed atomic.Uint64
	storeReads, storeWrites                 atomic.Uint64
}

// Driver enforces account limits on one instance. It implements engine.Quota and peer.QuotaHandler and
// is safe for concurrent use.
type Driver struct {
	cfg       Config
	epoch     uint64
	shards    [quota.ShardCount]*shard
	counters  counters
	fractions fractionManager
	sender    *sender
}

// fractionManager maintains this instance's fractions, either by claims renewed in the store (claimer) or
// by an assignment that all instances watch (watcher).
type fractionManager interface {
	run(ctx context.Context)
	drain(ctx context.Context) error
	ready() error
	holders() []string
	version() uint64
	observeVersion(version uint64)
}

// shard is the state machine of one account shard and its lock.
type shard struct {
	mu       sync.Mutex
	machine  *quota.Shard
	limits   map[string]quota.Limits
	answered chan struct{} // closed and replaced after each reply to a grant request
}

var _ peer.QuotaHandler = (*Driver)(nil)

// New returns a driver without accounts. It only maintains fractions and sends messages while Run runs.
func New(cfg Config) (*Driver, error) {
	if cfg.Self == "" || cfg.Store == nil || cfg.Peers == nil || cfg.PeerClients == nil || cfg.Rand == nil || cfg.Log == nil {
		return nil, errors.New("quota driver is incomplete; set Self, Store, Peers, PeerClients, Rand and Log")
	}
	if cfg.Clock == nil {
		cfg.Clock = boottime.Now
	}
	if cfg.Process == 0 {
		cfg.Process = randomProcessID()
	}
	d := &Driver{cfg: cfg, epoch: cfg.Process}
	for i := range d.shards {
		d.shards[i] = &shard{
			machine: quota.NewShard(cfg.Self, d.epoch), answered: make(chan struct{}),
		}
	}
	d.fractions = newClaimer(d, rand.New(rand.NewSource(cfg.Rand.Int63())))
	if cfg.Assignment != nil {
		d.fractions = newWatcher(d, *cfg.Assignment)
	}
	d.sender = newSender(d)
	return d, nil
}

// randomProcessID returns a random number that is independent of Config.Rand.
func randomProcessID() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // never fails, see crypto/rand
	return binary.LittleEndian.Uint64(b[:])
}

// Run maintains the fractions and sends messages until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { d.fractions.run(ctx) })
	wg.Go(func() { d.sender.run(ctx) })
	wg.Wait()
}

// SetAccounts applies the accounts of a manifest and their limits.
func (d *Driver) SetAccounts(accounts []manifest.Account) {
	limits := make([]map[string]quota.Limits, quota.ShardCount)
	for _, a := range accounts {
		i := shardOf(a.Name)
		if limits[i] == nil {
			limits[i] = map[string]quota.Limits{}
		}
		limits[i][a.Name] = quota.Limits{Rate: a.Rate, Burst: a.Burst}
	}
	for i, s := range d.shards {
		s.mu.Lock()
		s.limits = limits[i]
		s.machine.SetAccounts(d.cfg.Clock(), limits[i])
		s.mu.Unlock()
	}
	d.sender.pollNow()
}

// shardOf returns the shard of an account. All instances must agree on it.
func shardOf(account string) int {
	return int(xxhash.Sum64String(account) % quota.ShardCount)
}

// Admit is AdmitWithin for a statement that may wait up to admitWait.
func (d *Driver) Admit(ctx context.Context, account string) error {
	return d.AdmitWithin(ctx, account, quota.Patience{Answer: admitWait, Rest: admitWait})
}

// AdmitWithin returns nil if the statement is within the account's rate and burst, and otherwise an
// *outcome.Error of kind NotRun with a retry-after. It may wait as long as p says and ctx lasts.
func (d *Driver) AdmitWithin(ctx context.Context, account string, p quota.Patience) error {
	s := d.shards[shardOf(account)]
	s.mu.Lock()
	_, known := s.limits[account]
	verdict := s.machine.Admit(d.cfg.Clock(), account)
	answered := s.answered
	s.mu.Unlock()
	if !known {
		d.counters.refused.Add(1)
		return refusal(outcome.CodeInsufficientResources, account, "is not known to this instance",
			"repeat the request when the configuration has arrived", verdict)
	}
	if verdict.Wait {
		d.sender.pollNow()
		verdict = d.awaitVerdict(ctx, s, account, verdict, answered, p)
	} else {
		d.sender.pollNowIfIdle()
	}
	if verdict.Admitted {
		d.counters.admitted.Add(1)
		return nil
	}
	d.counters.refused.Add(1)
	if verdict.NoPoolFor > 0 {
		verdict.RetryAfter += time.Duration(rand.Int63n(int64(quarantineRetryJitter)))
		return refusal(outcome.CodeInsufficientResources, account, "can't be counted yet, since instances have started anew",
			"repeat the request after the given time", verdict)
	}
	if !verdict.AboveRate {
		return refusal(outcome.CodeInsufficientResources, account, "got no answer about its rate in time",
			"repeat the request after the given time; see whether the instances reach each other", verdict)
	}
	return refusal(outcome.CodeTooManyRequests, account, "is above its rate",
		"repeat the request after the given time, or ask the operator for a higher rate", verdict)
}

func refusal(code, account, reason, remedy string, v quota.Verdict) error {
	message := "client account " + strconv.Quote(account) + " " + reason
	return outcome.New(outcome.NotRun, code, message, remedy).WithRetryAfter(v.RetryAfter)
}

// awaitVerdict waits for the verdict on a statement. It refuses immediately if the owner expects fractions
// only after the wait would end.
func (d *Driver) awaitVerdict(ctx context.Context, s *shard, account string, v quota.Verdict, answered <-chan struct{}, p quota.Patience) quota.Verdict {
	d.counters.waited.Add(1)
	began := time.Now()
	end := waitEnd(ctx, began.Add(p.Limit(v)))
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	for v.NoPoolFor <= time.Until(end) {
		decide := s.machine.Retry
		select {
		case <-answered:
		case <-timer.C:
			decide = s.machine.Refuse
		case <-ctx.Done():
			decide = s.machine.Refuse
		}
		s.mu.Lock()
		v = decide(d.cfg.Clock(), account)
		answered = s.answered
		s.mu.Unlock()
		if !v.Wait {
			return v
		}
		if v.NoPoolFor > 0 {
			end = waitEnd(ctx, began.Add(p.Limit(v)))
			timer.Reset(time.Until(end))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Refuse(d.cfg.Clock(), account)
}

// waitEnd returns the end of a wait, or the deadline of ctx if that is sooner.
func waitEnd(ctx context.Context, end time.Time) time.Time {
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(end) {
		return deadline
	}
	return end
}

// setUsable passes the usable fractions to all shards.
func (d *Driver) setUsable(usable quota.Mask, until time.Duration) {
	for _, s := range d.shards {
		s.with(func(m *quota.Shard) { m.SetUsable(d.cfg.Clock(), usable, until) })
	}
}

// lent returns the fractions with outstanding loans in any shard.
func (d *Driver) lent() quota.Mask {
	var lent quota.Mask
	for _, s := range d.shards {
		s.with(func(m *quota.Shard) { lent |= m.Lent(d.cfg.Clock()) })
	}
	return lent
}

// with calls f with the machine. The lock is released also when f panics, as the fault is contained.
func (s *shard) with(f func(*quota.Shard)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.machine)
}

// notify makes waiting statements try again. The caller holds s.mu.
func (s *shard) notify() {
	close(s.answered)
	s.answered = make(chan struct{})
}

// Drain releases all fractions and stops owning pools. It returns nil once the record lists no fraction
// of this instance, or an error if ctx ends before that. Admissions continue with tokens granted by other
// owners.
func (d *Driver) Drain(ctx context.Context) error {
	d.sender.stopOwning()
	return d.fractions.drain(ctx)
}

// Ready returns nil once the list of instances and the record of fractions were read. Before that, the
// driver can't distinguish an account within its rate from one above it.
func (d *Driver) Ready() error {
	return d.fractions.ready()
}

// FractionsVersion returns the version of the record last seen, to be sent in gossip.
func (d *Driver) FractionsVersion() uint64 {
	return d.fractions.version()
}

// put writes an object to the store within storeTimeout, and counts the write.
func (d *Driver) put(ctx context.Context, key string, object interface{ Encode() ([]byte, error) }, version uint64) (uint64, error) {
	value, err := object.Encode()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	d.counters.storeWrites.Add(1)
	return d.cfg.Store.Put(ctx, key, value, version)
}

// ObserveFractionsVersion handles the version that a peer has seen. If it is higher than this instance's,
// the driver reads the record soon.
func (d *Driver) ObserveFractionsVersion(version uint64) {
	d.fractions.observeVersion(version)
}

// Stats returns the counters.
func (d *Driver) Stats() Stats {
	c := &d.counters
	return Stats{
		Admitted: c.admitted.Load(), Refused: c.refused.Load(), Waited: c.waited.Load(),
		GrantRequests: c.grantRequests.Load(), LoanRequests: c.loanRequests.Load(), HandBacks: c.handBacks.Load(),
		GrantRequestsFailed: c.grantRequestsFailed.Load(), LoanRequestsFailed: c.loanRequestsFailed.Load(),
		StoreReads: c.storeReads.Load(), StoreWrites: c.storeWrites.Load(),
	}
}
