package directory

import (
	"cmp"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// Defaults of Config.
const (
	// DefaultWatchWait is how long the store may hold a watch without a change. It is below the
	// contact timeout, so that an instance without peers always has proof of contact.
	DefaultWatchWait = 3 * time.Second
	// DefaultWatchMargin is added to the wait of a watch for its answer to arrive. It ends a watch on
	// a silent connection before the proof of contact expires.
	DefaultWatchMargin = time.Second
	// DefaultStatusTimeout bounds one status write, which takes at most a get and a put.
	DefaultStatusTimeout = 5 * time.Second
	// DefaultBackoffBase and DefaultBackoffCap bound the full-jitter delay after failures.
	DefaultBackoffBase = 100 * time.Millisecond
	DefaultBackoffCap  = 30 * time.Second
	// DefaultWatchJitter bounds the random delay before the next watch, since a change ends the watches of
	// all instances at once. It also limits the rate of watches if the store answers without waiting.
	DefaultWatchJitter = 200 * time.Millisecond
	// DefaultStatusInterval is the time between two status writes without an adoption.
	DefaultStatusInterval = time.Minute
	// DefaultStatusJitter bounds the random delay of a status write after an adoption, so that the
	// instances don't write at once.
	DefaultStatusJitter = 5 * time.Second
	// DefaultStatusMinInterval is the minimum time between two status writes. With 2,100 instances
	// and a change every 16 s it allows 140 writes/s; the store handles several hundred.
	DefaultStatusMinInterval = 15 * time.Second
)

// Config configures a Directory. Instance, Store and Database are required; other fields have
// defaults.
type Config struct {
	Instance string
	// MemberID is this instance's ID in the list passed to SetInstances; Instance if empty.
	MemberID string
	Store    objectstore.Store
	// Database looks up a database by its name in the manifest.
	Database func(name string) (engine.Database, error)
	// OnAdopt is called for every adoption, in order, before Offer returns. It must not block
	// and must not call Offer.
	OnAdopt func(*manifest.Snapshot, manifest.Withdrawals)
	// Health returns the current problems, which are added to the status object. After a change,
	// ReportSoon has to be called.
	Health func() map[string]string
	Log    logrus.FieldLogger
	// Rand is used under a lock of the directory.
	Rand *rand.Rand
	// Now returns the time since a monotonic origin.
	Now func() time.Duration
	// WallClock returns the time for the timestamp of the status object.
	WallClock func() time.Time

	ContactTimeout    time.Duration
	WatchWait         time.Duration
	WatchMargin       time.Duration
	StatusTimeout     time.Duration
	BackoffBase       time.Duration
	BackoffCap        time.Duration
	WatchJitter       time.Duration
	StatusInterval    time.Duration
	StatusJitter      time.Duration
	StatusMinInterval time.Duration
}

func (c Config) withDefaults() (Config, error) {
	if c.Instance == "" || c.Store == nil || c.Database == nil {
		return c, errors.New("directory needs an instance id, a store and a database lookup; set all three in its Config")
	}
	if c.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		c.Log = discard
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.Now == nil {
		start := time.Now()
		c.Now = func() time.Duration { return time.Since(start) }
	}
	if c.WallClock == nil {
		c.WallClock = time.Now
	}
	c.MemberID = cmp.Or(c.MemberID, c.Instance)
	c.ContactTimeout = cmp.Or(c.ContactTimeout, manifest.DefaultContactTimeout)
	c.WatchWait = cmp.Or(c.WatchWait, DefaultWatchWait)
	c.WatchMargin = cmp.Or(c.WatchMargin, DefaultWatchMargin)
	c.StatusTimeout = cmp.Or(c.StatusTimeout, DefaultStatusTimeout)
	c.BackoffBase = cmp.Or(c.BackoffBase, DefaultBackoffBase)
	c.BackoffCap = cmp.Or(c.BackoffCap, DefaultBackoffCap)
	c.WatchJitter = cmp.Or(c.WatchJitter, DefaultWatchJitter)
	c.StatusInterval = cmp.Or(c.StatusInterval, DefaultStatusInterval)
	c.StatusJitter = cmp.Or(c.StatusJitter, DefaultStatusJitter)
	c.StatusMinInterval = cmp.Or(c.StatusMinInterval, DefaultStatusMinInterval)
	return c, nil
}
