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
	// keeperTick is the period at which the keeper looks for work.
	keeperTick = 500 * time.Millisecond
	// formingTick and formingPoll are the periods of looking for work and of reading the record
	// while instances that start together claim their fractions, for formingTerm at most. An
	// owner can't borrow from holders that it has not read about.
	formingTick = 50 * time.Millisecond
	formingPoll = 250 * time.Millisecond
	formingTerm = 10 * time.Second
	// formingPollPerInstance keeps all instances together at 1,000 such reads a second.
	formingPollPerInstance = time.Millisecond
	// storeTimeout bounds one store call.
	storeTimeout = 5 * time.Second
	// conflictDelay is the largest delay before a conflicting write is planned again.
	conflictDelay = 200 * time.Millisecond
	// noteDelay and noteDelayPerInstance spread the reads after a peer named a newer record, so
	// that all instances together read it at most about 100 times a second.
	noteDelay            = time.Second
	noteDelayPerInstance = 10 * time.Millisecond
	// backoffStart and backoffLimit bound the delay after a failed store call, with full jitter.
	backoffStart = time.Second
	backoffLimit = 30 * time.Second
)

// keeper keeps this instance's fractions in the store's record.
type keeper struct {
	driver *Driver

	mu        sync.Mutex
	random    *rand.Rand
	fractions *quota.ClaimManager
	usable    quota.Mask
	until     time.Duration
	leaving   bool          // drain was called
	readAt    time.Duration // a peer named a newer record; 0: none did
	started   time.Duration
	lastRead  time.Duration
	wasRead   bool // the record was read at least once
	failures  int
	drained   chan struct{}
	nudge     chan struct{}
}

func newKeeper(d *Driver, random *rand.Rand) *keeper {
	return &keeper{
		driver: d, random: random, drained: make(chan struct{}), nudge: make(chan struct{}, 1),
		fractions: quota.NewClaimManager(d.cfg.Self, d.epoch, d.cfg.Clock(), random),
		started:   d.cfg.Clock(),
	}
}

// forming reports whether fractions may still be free because instances are starting.
func (k *keeper) forming() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.formingLocked(k.driver.cfg.Clock())
}

func (k *keeper) formingLocked(now time.Duration) bool {
	return now-k.started < formingTerm && !(k.wasRead && k.fractions.Complete())
}

// errNotReady is the reason why an instance should get no callers yet.
var errNotReady = errors.New("the record of fractions was not read yet; see whether the store answers")

func (k *keeper) ready() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.wasRead {
		return errNotReady
	}
	return nil
}

// tick returns the time until the next look for work.
func (k *keeper) tick() time.Duration {
	if k.forming() {
		return formingTick
	}
	return keeperTick
}

func (k *keeper) run(ctx context.Context) {
	delay := time.Duration(0)
	for {
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-k.nudge:
			timer.Stop()
		case <-timer.C:
		}
		k.startDrain()
		k.apply()
		delay = k.tick()
		if k.due() {
			delay = k.sync(ctx)
		}
	}
}

// startDrain gives up the fractions once drain was called. Only the goroutine that writes the
// record does so: a drain between apply and the plan of a write would remove fractions from the
// record that are still in use.
func (k *keeper) startDrain() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving {
		k.fractions.Drain()
	}
}

// due reports whether the record should be read now. Nothing is claimed before the instance list
// is known, since a share can't be told without it.
func (k *keeper) due() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.driver.cfg.Clock()
	noted := k.readAt != 0 && now >= k.readAt
	listed := k.driver.cfg.Peers.Listed()
	poll := max(formingPoll, time.Duration(listed)*formingPollPerInstance)
	forming := k.formingLocked(now) && (!k.wasRead || now-k.lastRead >= poll)
	return listed > 0 && (noted || forming || now >= k.fractions.NextAt())
}

// sync reads the record, writes a change if one is wanted, and returns the delay until the next
// look.
func (k *keeper) sync(ctx context.Context) time.Duration {
	if err := k.read(ctx); err != nil {
		return k.failed(EventRecordUnreadable, "record of fractions can't be read", err)
	}
	err := k.write(ctx)
	k.apply()
	if errors.Is(err, objectstore.ErrConflict) {
		k.driver.cfg.Log.WithField(peer.FieldEvent, EventRecordConflict).Debug("another instance wrote the record of fractions first")
		return k.upTo(conflictDelay)
	}
	if err != nil {
		return k.failed(EventRecordNotWritten, "record of fractions can't be written", err)
	}
	k.mu.Lock()
	k.failures = 0
	k.mu.Unlock()
	return k.tick()
}

func (k *keeper) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.driver.count.reads.Add(1)
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

func (k *keeper) observe(record quota.Record, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.driver.cfg.Clock()
	k.fractions.Observe(now, record, version)
	k.readAt, k.lastRead, k.wasRead = 0, now, true
}

func (k *keeper) write(ctx context.Context) error {
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
func (k *keeper) plan() (quota.Record, uint64, bool) {
	k.apply()
	d := k.driver
	lent := d.lent()
	k.mu.Lock()
	defer k.mu.Unlock()
	record, wanted := k.fractions.Plan(d.cfg.Clock(), d.cfg.Peers.Listed(), lent)
	return record, k.fractions.Version(), wanted
}

// apply gives the usable fractions to the shards if they have changed.
func (k *keeper) apply() {
	k.mu.Lock()
	usable, until := k.fractions.Usable(k.driver.cfg.Clock())
	changed := usable != k.usable || until != k.until
	before := k.usable
	k.usable, k.until = usable, until
	k.noteDrained()
	k.mu.Unlock()
	if !changed {
		return
	}
	k.driver.apply(usable, until)
	if usable != before {
		k.driver.cfg.Log.WithFields(logrus.Fields{peer.FieldEvent: EventFractions, "fractions": usable.Count()}).
			Info("this instance holds other fractions than before")
	}
}

// failed logs a failed store call and returns the delay until the next one.
func (k *keeper) failed(event, message string, err error) time.Duration {
	k.driver.cfg.Log.WithField(peer.FieldEvent, event).WithError(err).Warn(message)
	k.mu.Lock()
	limit := min(backoffStart<<min(k.failures, 10), backoffLimit)
	k.failures++
	k.mu.Unlock()
	return k.upTo(limit)
}

// upTo returns a random delay of at most limit.
func (k *keeper) upTo(limit time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Duration(k.random.Int63n(int64(limit)))
}

func (k *keeper) version() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fractions.Version()
}

func (k *keeper) note(version uint64) {
	delay := k.upTo(max(noteDelay, noteDelayPerInstance*time.Duration(k.driver.cfg.Peers.Listed())))
	k.mu.Lock()
	defer k.mu.Unlock()
	if version > k.fractions.Version() && k.readAt == 0 {
		k.readAt = k.driver.cfg.Clock() + delay
	}
}

// noteDrained closes drained once nothing is held. The caller holds k.mu.
func (k *keeper) noteDrained() {
	select {
	case <-k.drained:
		return
	default:
	}
	if k.fractions.Drained() {
		close(k.drained)
		k.driver.cfg.Log.WithField(peer.FieldEvent, EventDrained).Info("all fractions were handed back")
	}
}

func (k *keeper) drain(ctx context.Context) error {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	select {
	case k.nudge <- struct{}{}:
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
func (k *keeper) holders() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fractions.Holders()
}
