package quota

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
)

const (
	// claimTick is the period at which the keeper looks for work.
	claimTick = 500 * time.Millisecond
	// startupTick and startupPoll are the periods of looking for work and of reading the record
	// while instances that start together claim their fractions, for startupTerm at most. An
	// owner can't borrow from holders that it has not read about.
	startupTick = 50 * time.Millisecond
	startupPoll = 250 * time.Millisecond
	startupTerm = 10 * time.Second
	// startupPollPerInstance keeps all instances together at 1,000 such reads a second.
	startupPollPerInstance = time.Millisecond
	// storeTimeout bounds one store call.
	storeTimeout = 5 * time.Second
	// conflictDelay is the largest delay before a conflicting write is planned again.
	conflictDelay = 200 * time.Millisecond
	// versionReadDelay and versionReadDelayPerInstance spread the reads after a peer named a newer record, so
	// that all instances together read it at most about 100 times a second.
	versionReadDelay            = time.Second
	versionReadDelayPerInstance = 10 * time.Millisecond
	// backoffStart and backoffLimit bound the delay after a failed store call, with full jitter.
	backoffStart = time.Second
	backoffLimit = 30 * time.Second
)

// claimer keeps this instance's fractions in the store's record.
type claimer struct {
	driver *Driver

	mu          sync.Mutex
	random      *rand.Rand
	claims      *quota.ClaimManager
	usable      quota.Mask
	usableUntil time.Duration
	draining    bool          // drain was called
	readAt      time.Duration // a peer named a newer record; 0: none did
	startedAt   time.Duration
	lastRead    time.Duration
	wasRead     bool // the record was read at least once
	failures    int
	drained     chan struct{}
	wakeup      chan struct{}
}

func newClaimer(d *Driver, random *rand.Rand) *claimer {
	return &claimer{
		driver: d, random: random, drained: make(chan struct{}), wakeup: make(chan struct{}, 1),
		claims:    quota.NewClaimManager(d.cfg.Self, d.epoch, d.cfg.Clock(), random),
		startedAt: d.cfg.Clock(),
	}
}

// inStartup reports whether fractions may still be free because instances are starting.
func (k *claimer) inStartup() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inStartupLocked(k.driver.cfg.Clock())
}

func (k *claimer) inStartupLocked(now time.Duration) bool {
	return now-k.startedAt < startupTerm && !(k.wasRead && k.claims.Complete())
}

// errRecordUnknown is the reason why an instance should get no callers yet.
var errRecordUnknown = errors.New("the record of fractions was not read yet; see whether the store answers")

func (k *claimer) ready() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.wasRead {
		return errRecordUnknown
	}
	return nil
}

// tick returns the time until the next look for work.
func (k *claimer) tick() time.Duration {
	if k.inStartup() {
		return startupTick
	}
	return claimTick
}

func (k *claimer) run(ctx context.Context) {
	delay := time.Duration(0)
	for {
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-k.wakeup:
			timer.Stop()
		case <-timer.C:
		}
		k.startDrain()
		k.applyUsable()
		delay = k.tick()
		if k.readDue() {
			delay = k.sync(ctx)
		}
	}
}

// startDrain gives up the fractions once drain was called. Only the goroutine that writes the
// record does so: a drain between apply and the plan of a write would remove fractions from the
// record that are still in use.
func (k *claimer) startDrain() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.draining {
		k.claims.Drain()
	}
}

// readDue reports whether the record should be read now. Nothing is claimed before the instance list
// is known, since a share can't be told without it.
func (k *claimer) readDue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.driver.cfg.Clock()
	noted := k.readAt != 0 && now >= k.readAt
	listed := k.driver.cfg.Peers.Listed()
	poll := max(startupPoll, time.Duration(listed)*startupPollPerInstance)
	forming := k.inStartupLocked(now) && (!k.wasRead || now-k.lastRead >= poll)
	return listed > 0 && (noted || forming || now >= k.claims.NextAt())
}

// sync reads the record, writes a change if one is wanted, and returns the delay until the next
// look.
func (k *claimer) sync(ctx context.Context) time.Duration {
	if err := k.read(ctx); err != nil {
		return k.storeFailed(EventRecordUnreadable, "record of fractions can't be read", err)
	}
	err := k.write(ctx)
	k.applyUsable()
	if errors.Is(err, objectstore.ErrConflict) {
		k.driver.cfg.Log.WithField(peer.FieldEvent, EventRecordConflict).Debug("another instance wrote the record of fractions first")
		return k.randomDelay(conflictDelay)
	}
	if err != nil {
		return k.storeFailed(EventRecordNotWritten, "record of fractions can't be written", err)
	}
	k.mu.Lock()
	k.failures = 0
	k.mu.Unlock()
	return k.tick()
}

func (k *claimer) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.driver.counters.storeReads.Add(1)
	object, err := k.driver.cfg.Store.Get(ctx, quota.RecordKey)
	if errors.Is(err, objectstore.ErrNotFound) && k.version() == 0 {
		k.observe(quota.Record{}, 0)
		return nil
	}
	if err != nil {
		return err
	}
	record, err := quota.DecodeRecord(object.Value)
	if err != nil {
		k.driver.cfg.Log.WithField(peer.FieldEvent, EventRecordInvalid).WithError(err).Error("record of fractions is not valid")
		return err
	}
	k.observe(record, object.Version)
	return nil
}

func (k *claimer) observe(record quota.Record, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.driver.cfg.Clock()
	k.claims.Observe(now, record, version)
	k.readAt, k.lastRead, k.wasRead = 0, now, true
}

func (k *claimer) write(ctx context.Context) error {
	record, version, wanted := k.plan()
	if !wanted {
		return nil
	}
	data, err := record.Encode()
	if err != nil {
		return err
	}
	written, err := k.driver.put(ctx, quota.RecordKey, data, version)
	if err != nil {
		return err
	}
	k.observe(record, written)
	return nil
}

// plan applies the usable fractions to all shards before it collects the open loans, as Plan
// asks for.
func (k *claimer) plan() (quota.Record, uint64, bool) {
	k.applyUsable()
	d := k.driver
	lent := d.lent()
	k.mu.Lock()
	defer k.mu.Unlock()
	record, wanted := k.claims.Plan(d.cfg.Clock(), d.cfg.Peers.Listed(), lent)
	return record, k.claims.Version(), wanted
}

// applyUsable gives the usable fractions to the shards if they have changed.
func (k *claimer) applyUsable() {
	k.mu.Lock()
	usable, until := k.claims.Usable(k.driver.cfg.Clock())
	changed := usable != k.usable || until != k.usableUntil
	before := k.usable
	k.usable, k.usableUntil = usable, until
	k.closeIfDrained()
	k.mu.Unlock()
	if !changed {
		return
	}
	k.driver.setUsable(usable, until)
	if usable != before {
		k.driver.cfg.Log.WithFields(logrus.Fields{peer.FieldEvent: EventFractions, "fractions": usable.Count()}).
			Info("this instance holds other fractions than before")
	}
}

// storeFailed logs a failed store call and returns the delay until the next one.
func (k *claimer) storeFailed(event, message string, err error) time.Duration {
	k.driver.cfg.Log.WithField(peer.FieldEvent, event).WithError(err).Warn(message)
	k.mu.Lock()
	limit := min(backoffStart<<min(k.failures, 10), backoffLimit)
	k.failures++
	k.mu.Unlock()
	return k.randomDelay(limit)
}

// randomDelay returns a random delay of at most limit.
func (k *claimer) randomDelay(limit time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Duration(k.random.Int63n(int64(limit)))
}

func (k *claimer) version() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.claims.Version()
}

func (k *claimer) noteVersion(version uint64) {
	delay := k.randomDelay(max(versionReadDelay, versionReadDelayPerInstance*time.Duration(k.driver.cfg.Peers.Listed())))
	k.mu.Lock()
	defer k.mu.Unlock()
	if version > k.claims.Version() && k.readAt == 0 {
		k.readAt = k.driver.cfg.Clock() + delay
	}
}

// closeIfDrained closes drained once nothing is held. The caller holds k.mu.
func (k *claimer) closeIfDrained() {
	select {
	case <-k.drained:
		return
	default:
	}
	if k.claims.Drained() {
		close(k.drained)
		k.driver.cfg.Log.WithField(peer.FieldEvent, EventDrained).Info("all fractions were handed back")
	}
}

func (k *claimer) drain(ctx context.Context) error {
	k.mu.Lock()
	k.draining = true
	k.mu.Unlock()
	select {
	case k.wakeup <- struct{}{}:
	default:
	}
	select {
	case <-k.drained:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "fractions were not handed back in time; they return when their hold ends")
	}
}

// holders returns the peer addresses of the record last seen.
func (k *claimer) holders() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.claims.Holders()
}
