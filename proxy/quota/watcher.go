package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// watcherTick is the period of checking whether the assignment has to be changed.
	watcherTick = 200 * time.Millisecond
	// restEndMargin covers the difference between the timer's clock and the driver's.
	restEndMargin = time.Millisecond
	// maxHolders bounds the number of instances that hold fractions. Each owner borrows from each holder
	// twice per loan term, so without a bound the calls would grow with the square of the number of
	// instances. With 16 holders, the loss of one makes a sixteenth of the fractions unavailable.
	maxHolders = 16
)

// AssignmentConfig configures a Driver that holds fractions by a watched assignment.
type AssignmentConfig struct {
	// Live returns the peer addresses of the responding instances, this one included.
	Live func() []string
	// Version changes whenever the result of Live changes.
	Version func() uint64
	// Contact sends a heartbeat to a holder that has not been among Live for long. If it is answered, Live contains the holder
	// when Contact returns. nil: holders are not asked.
	Contact func(ctx context.Context, address string) (reachable bool)
	// StoreIsNew tells that the store has never held an assignment before.
	StoreIsNew bool
}

// watcher holds fractions by an assignment in the store that all instances watch. What the watch
// delivers must be passed to Driver.ObserveAssignment and Driver.ConfirmAssignment.
type watcher struct {
	driver *Driver
	cfg    AssignmentConfig

	applying sync.Mutex // held while the shards get the usable fractions; taken before mu

	mu          sync.Mutex
	assignment  *quota.AssignmentManager
	usable      quota.Mask // that any shard may lend
	usableUntil time.Duration
	lost        quota.LostHolders
	retryAt     time.Duration
	drained     chan struct{}

	responding peer.Derived[respondingInstances]
}

// respondingInstances are the responding instances and their roles.
type respondingInstances struct {
	all     []string
	holders []string // those that may hold fractions
	planner bool     // this instance plans the assignment
}

func newWatcher(d *Driver, cfg AssignmentConfig) *watcher {
	return &watcher{
		driver: d, cfg: cfg, assignment: quota.NewAssignmentManager(d.cfg.Self, d.cfg.Clock(), cfg.StoreIsNew),
		drained: make(chan struct{}),
	}
}

// ObserveAssignment applies an assignment delivered by the watch.
func (d *Driver) ObserveAssignment(value []byte, version uint64) error {
	w, ok := d.fractions.(*watcher)
	if !ok {
		return errors.AssertionFailedf("the quota was not configured with an assignment")
	}
	a, err := quota.DecodeAssignment(value)
	if err != nil {
		return err
	}
	w.observe(a, version)
	return nil
}

// ObserveNoAssignment records that the store has no assignment in an era.
func (d *Driver) ObserveNoAssignment(era uint64) {
	if w, ok := d.fractions.(*watcher); ok {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.assignment.ObserveAbsent(era)
	}
}

// ConfirmAssignment records that no newer assignment existed at the time asOf of the driver's clock, in an era of the store.
func (d *Driver) ConfirmAssignment(asOf time.Duration, era uint64) {
	w, ok := d.fractions.(*watcher)
	if !ok {
		return
	}
	w.mu.Lock()
	w.assignment.ConfirmCurrent(asOf, era)
	w.mu.Unlock()
	w.applyUsable()
}

func (w *watcher) observe(a quota.Assignment, version uint64) {
	w.mu.Lock()
	w.assignment.Observe(w.driver.cfg.Clock(), a, version)
	w.mu.Unlock()
	w.applyUsable()
}

func (w *watcher) run(ctx context.Context) {
	// The rest after the start ends between two ticks, and statements wait for it.
	restEnd := time.AfterFunc(w.assignment.RestEnd()-w.driver.cfg.Clock()+restEndMargin, w.applyUsable)
	defer restEnd.Stop()
	wait.Every(ctx, watcherTick, func() {
		w.applyUsable()
		w.updateAssignment(ctx)
	})
}

// applyUsable passes the usable fractions to the shards if they have changed.
func (w *watcher) applyUsable() {
	w.applying.Lock()
	defer w.applying.Unlock()
	w.mu.Lock()
	usable, until := w.assignment.Usable(w.driver.cfg.Clock())
	changed, fractionsChanged := usable != w.usable || until != w.usableUntil, usable != w.usable
	w.usable |= usable
	w.closeIfDrained()
	w.mu.Unlock()
	if changed {
		w.driver.setUsable(usable, until)
		w.mu.Lock()
		w.usable, w.usableUntil = usable, until
		w.mu.Unlock()
	}
	if fractionsChanged {
		w.driver.cfg.Log.WithFields(logrus.Fields{peer.FieldEvent: EventFractions, "fractions": usable.Count()}).
			Info("fractions usable by this instance have changed")
	}
}

// closeIfDrained closes drained once no fraction is held. The caller holds mu.
func (w *watcher) closeIfDrained() {
	select {
	case <-w.drained:
	default:
		if w.assignment.Drained() {
			close(w.drained)
		}
	}
}

// updateAssignment writes a new assignment if a change is planned.
func (w *watcher) updateAssignment(ctx context.Context) {
	lent := w.lentOrLendable()
	responding := w.currentResponding()
	w.mu.Lock()
	now := w.driver.cfg.Clock()
	members := quota.Members{
		Live: responding.holders, Unreachable: w.lostHolders(ctx, now, responding.all), Planner: responding.planner,
	}
	planned, wanted := w.assignment.Plan(now, members, lent)
	version := w.assignment.WriteVersion()
	wanted = wanted && now >= w.retryAt
	w.mu.Unlock()
	if !wanted {
		return
	}
	if err := w.write(ctx, planned, version); err != nil {
		w.writeFailed(err)
	}
}

// lentOrLendable returns the fractions with open loans, and those that the shards may lend at any moment. All others stay unlent
// until the shards get them again.
func (w *watcher) lentOrLendable() quota.Mask {
	w.mu.Lock()
	usable := w.usable
	w.mu.Unlock()
	return usable | w.driver.lent()
}

// currentResponding returns the responding instances. The roles are chosen again only when the instances have changed,
// since the choice hashes all of them.
func (w *watcher) currentResponding() respondingInstances {
	return w.responding.Get(w.cfg.Version(), func() respondingInstances {
		live := w.cfg.Live()
		return respondingInstances{
			all: live, holders: peer.RendezvousTop(quota.AssignmentKey, live, maxHolders),
			planner: peer.Rendezvous(quota.AssignmentKey, live) == w.driver.cfg.Self,
		}
	})
}

// lostHolders returns the holders that are lost, and asks those that may be. Every instance does, since any of them may be the
// planner next. The caller holds mu.
func (w *watcher) lostHolders(ctx context.Context, now time.Duration, live []string) []string {
	lost, ask := w.lost.Update(now, w.assignment.Holders(), live)
	for _, holder := range ask {
		go w.ask(ctx, holder)
	}
	return lost
}

func (w *watcher) ask(ctx context.Context, holder string) {
	if w.cfg.Contact != nil {
		w.cfg.Contact(ctx, holder)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost.Asked(holder)
}

func (w *watcher) write(ctx context.Context, planned quota.Assignment, version uint64) error {
	written, err := w.driver.put(ctx, quota.AssignmentKey, planned, version)
	if err != nil {
		return err
	}
	w.observe(planned, written)
	return nil
}

// writeFailed logs a failed write and delays the next one. The watch delivers what another instance has
// written.
func (w *watcher) writeFailed(err error) {
	if errors.Is(err, objectstore.ErrConflict) {
		w.driver.cfg.Log.WithField(peer.FieldEvent, EventRecordConflict).Debug("another instance wrote the assignment first")
	} else {
		w.driver.cfg.Log.WithField(peer.FieldEvent, EventRecordNotWritten).WithError(err).Warn("assignment of fractions can't be written")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retryAt = w.driver.cfg.Clock() + rand.N(2*conflictDelay)
}

// errAssignmentUnknown is the reason why an instance is not ready for callers yet.
var errAssignmentUnknown = errors.New("the assignment of fractions was not read yet; see whether the store answers")

func (w *watcher) ready() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.assignment.Known() {
		return errAssignmentUnknown
	}
	return nil
}

func (w *watcher) holders() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.assignment.Holders()
}

func (w *watcher) version() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.assignment.Version()
}

// observeVersion does nothing, since the watch delivers newer versions.
func (w *watcher) observeVersion(uint64) {}

func (w *watcher) drain(ctx context.Context) error {
	w.mu.Lock()
	w.assignment.Drain()
	w.mu.Unlock()
	w.applyUsable()
	select {
	case <-w.drained:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "fractions were not released in time; other instances take them over")
	}
}
