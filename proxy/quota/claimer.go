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
	// claimTick is the period of checking for reads and writes that are due.
	claimTick = 500 * time.Millisecond
	// startupTick and startupPoll are the periods of checking for due work and of reading the record
	// while instances that start together claim their fractions, which lasts startupTerm at most. The
	// record is read often because an owner can borrow only from holders that it has read from it.
	startupTick = 50 * time.Millisecond
	startupPoll = 250 * time.Millisecond
	startupTerm = 10 * time.Second
	// startupPollPerInstance limits these reads to 1,000 a second across all instances.
	startupPollPerInstance = time.Millisecond
	// storeTimeout bounds one store call.
	storeTimeout = 5 * time.Second
	// conflictDelay is the maximum delay before a conflicting write is retried with a new plan.
	conflictDelay = 200 * time.Millisecond
	// versionReadDelay and versionReadDelayPerInstance spread the reads after a peer reported a newer
	// record, so that all instances together read it at most about 100 times a second.
	versionReadDelay            = time.Second
	versionReadDelayPerInstance = 10 * time.Millisecond
	// backoffStart and backoffLimit are the initial and the maximum backoff after failed store calls. The
	// delay has full jitter.
	backoffStart = time.Second
	backoffLimit = 30 * time.Second
)

// claimer maintains this instance's claims on fractions in the store's record.
type claimer struct {
	driver *Driver

	mu          sync.Mutex
	random      *rand.Rand
	claims      *quota.ClaimManager
	usable      quota.Mask
	usableUntil time.Duration
	draining    bool          // drain was called
	readAt      time.Duration // when to read a newer record reported by a peer; 0: none reported
	startedAt   time.Duration
	lastRead    time.Duration
	wasRead     bool // the record was read at least once
	failures    int
	drained     chan struct{}
	checkNow    chan struct{}
}

func newClaimer(d *Driver, random *rand.Rand) *claimer {
	return &claimer{
		driver: d, random: random, drained: make(chan struct{}), checkNow: make(chan struct{}, 1),
		claims:    quota.NewClaimManager(d.cfg.Self, d.epoch, d.cfg.Clock(), random),
		startedAt: d.cfg.Clock(),
	}
}

// inStartup reports whether fractions may still be unclaimed because instances are starting.
func (c *claimer) inStartup() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inStartupLocked(c.driver.cfg.Clock())
}

func (c *claimer) inStartupLocked(now time.Duration) bool {
	return now-c.startedAt < startupTerm && !(c.wasRead && c.claims.Complete())
}

// errRecordUnknown is the reason why an instance is not ready for callers yet.
var errRecordUnknown = errors.New("the record of fractions was not read yet; see whether the store answers")

func (c *claimer) ready() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.wasRead {
		return errRecordUnknown
	}
	return nil
}

// tick returns the time until the next check for due work.
func (c *claimer) tick() time.Duration {
	if c.inStartup() {
		return startupTick
	}
	return claimTick
}

func (c *claimer) run(ctx context.Context) {
	delay := time.Duration(0)
	for {
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-c.checkNow:
			timer.Stop()
		case <-timer.C:
		}
		c.startDrain()
		c.applyUsable()
		delay = c.tick()
		if c.readDue() {
			delay = c.sync(ctx)
		}
	}
}

// startDrain releases the fractions once drain was called. Only the goroutine that writes the record may
// do this: a drain between applyUsable and the planning of a write would remove fractions from the record
// that are still in use.
func (c *claimer) startDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		c.claims.Drain()
	}
}

// readDue reports whether the record should be read now. Nothing is claimed before the instance list is
// known, since this instance's share can't be computed without it.
func (c *claimer) readDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.driver.cfg.Clock()
	newerReported := c.readAt != 0 && now >= c.readAt
	listed := c.driver.cfg.Peers.ListedCount()
	poll := max(startupPoll, time.Duration(listed)*startupPollPerInstance)
	starting := c.inStartupLocked(now) && (!c.wasRead || now-c.lastRead >= poll)
	return listed > 0 && (newerReported || starting || now >= c.claims.NextAt())
}

// sync reads the record, writes it if a change is planned, and returns the delay until the next check.
func (c *claimer) sync(ctx context.Context) time.Duration {
	if err := c.read(ctx); err != nil {
		return c.storeFailed(EventRecordUnreadable, "record of fractions can't be read", err)
	}
	err := c.write(ctx)
	c.applyUsable()
	if errors.Is(err, objectstore.ErrConflict) {
		c.driver.cfg.Log.WithField(peer.FieldEvent, EventRecordConflict).Debug("another instance wrote the record of fractions first")
		return c.randomDelay(conflictDelay)
	}
	if err != nil {
		return c.storeFailed(EventRecordNotWritten, "record of fractions can't be written", err)
	}
	c.mu.Lock()
	c.failures = 0
	c.mu.Unlock()
	return c.tick()
}

func (c *claimer) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.driver.counters.storeReads.Add(1)
	object, err := c.driver.cfg.Store.Get(ctx, quota.RecordKey)
	if errors.Is(err, objectstore.ErrNotFound) && c.version() == 0 {
		c.observe(quota.Record{}, 0)
		return nil
	}
	if err != nil {
		return err
	}
	record, err := quota.DecodeRecord(object.Value)
	if err != nil {
		c.driver.cfg.Log.WithField(peer.FieldEvent, EventRecordInvalid).WithError(err).Error("record of fractions is not valid")
		return err
	}
	c.observe(record, object.Version)
	return nil
}

func (c *claimer) observe(record quota.Record, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.driver.cfg.Clock()
	c.claims.Observe(now, record, version)
	c.readAt, c.lastRead, c.wasRead = 0, now, true
}

func (c *claimer) write(ctx context.Context) error {
	record, version, wanted := c.plan()
	if !wanted {
		return nil
	}
	written, err := c.driver.put(ctx, quota.RecordKey, record, version)
	if err != nil {
		return err
	}
	c.observe(record, written)
	return nil
}

// plan applies the usable fractions to all shards before it collects the outstanding loans, as
// ClaimManager.Plan requires.
func (c *claimer) plan() (quota.Record, uint64, bool) {
	c.applyUsable()
	d := c.driver
	lent := d.lent()
	c.mu.Lock()
	defer c.mu.Unlock()
	record, wanted := c.claims.Plan(d.cfg.Clock(), d.cfg.Peers.ListedCount(), lent)
	return record, c.claims.Version(), wanted
}

// applyUsable passes the usable fractions to the shards if they have changed.
func (c *claimer) applyUsable() {
	c.mu.Lock()
	usable, until := c.claims.Usable(c.driver.cfg.Clock())
	changed := usable != c.usable || until != c.usableUntil
	before := c.usable
	c.usable, c.usableUntil = usable, until
	c.closeIfDrained()
	c.mu.Unlock()
	if !changed {
		return
	}
	c.driver.setUsable(usable, until)
	if usable != before {
		c.driver.cfg.Log.WithFields(logrus.Fields{peer.FieldEvent: EventFractions, "fractions": usable.Count()}).
			Info("fractions usable by this instance have changed")
	}
}

// storeFailed logs a failed store call and returns the backoff before the next one.
func (c *claimer) storeFailed(event, message string, err error) time.Duration {
	c.driver.cfg.Log.WithField(peer.FieldEvent, event).WithError(err).Warn(message)
	c.mu.Lock()
	limit := min(backoffStart<<min(c.failures, 10), backoffLimit)
	c.failures++
	c.mu.Unlock()
	return c.randomDelay(limit)
}

// randomDelay returns a random delay below limit.
func (c *claimer) randomDelay(limit time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.Int63n(int64(limit)))
}

func (c *claimer) version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claims.Version()
}

func (c *claimer) observeVersion(version uint64) {
	delay := c.randomDelay(max(versionReadDelay, versionReadDelayPerInstance*time.Duration(c.driver.cfg.Peers.ListedCount())))
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.claims.Version() && c.readAt == 0 {
		c.readAt = c.driver.cfg.Clock() + delay
	}
}

// closeIfDrained closes drained once no fraction is held. The caller holds c.mu.
func (c *claimer) closeIfDrained() {
	select {
	case <-c.drained:
		return
	default:
	}
	if c.claims.Drained() {
		close(c.drained)
		c.driver.cfg.Log.WithField(peer.FieldEvent, EventDrained).Info("all fractions were released")
	}
}

func (c *claimer) drain(ctx context.Context) error {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	select {
	case c.checkNow <- struct{}{}:
	default:
	}
	select {
	case <-c.drained:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "fractions were not released in time; other instances can claim them when the claims expire")
	}
}

// holders returns the peer addresses of the holders in the record last seen.
func (c *claimer) holders() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claims.Holders()
}
