package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/relaytree"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// callTimeout bounds a call to the store that does not wait. The store answers in milliseconds, and
	// in some hundred when it is slow.
	callTimeout = time.Second
	// watchMargin is the time beyond its wait after which a watch counts as lost.
	watchMargin = 800 * time.Millisecond
	// shortWatchWait is the wait of a watch that is to prove contact soon.
	shortWatchWait = 20 * time.Millisecond
	// relayWait is the wait of a call to a relay, which a lost connection delays the news by.
	relayWait = time.Second
	// retryMin and retryMax bound the wait after a failed call, which is random so that the instances
	// don't call together.
	retryMin = 100 * time.Millisecond
	retryMax = 400 * time.Millisecond
)

// follower keeps a copy of all objects of a kind, from the store or from a relay.
type follower struct {
	store      *platform.Store
	relays     *relayService // nil: the store only
	outage     *outage       // shared with the other followers
	isProber   bool          // it calls the store in an outage, for all
	cache      *objectCache
	kind       string
	wait       time.Duration // of one watch
	batchDelay time.Duration // between the end of a watch that brought changes and the next one
	now        func() time.Duration
	log        logrus.FieldLogger
	// onList and changed take the objects.
	onList   func(all []platform.Object)
	onChange func(some []platform.Object)
	// onConfirm is told as of when nothing newer existed than what listed and changed have brought.
	onConfirm func(asOf time.Duration)

	revision  uint64
	loaded    bool
	storeLost bool
	asOf      time.Duration
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		f.logStoreState(ctx, err)
		if err == nil || errors.Is(err, platform.ErrHistoryGone) {
			f.outage.markReached(f)
			continue
		}
		// A list proves contact at once, where another watch may hang like the last one.
		f.loaded = false
		f.outage.wait(ctx, f)
	}
}

func (f *follower) step(ctx context.Context) error {
	if f.relays != nil {
		if relay := f.relays.chooseParent(); relay.Address != "" && f.followRelay(ctx, relay) {
			return nil
		}
	}
	if !f.loaded {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

// followRelay asks a relay for changes. It reports false when the store has to be asked.
func (f *follower) followRelay(ctx context.Context, relay relaytree.Parent) bool {
	revision := f.revision
	if !f.loaded {
		revision = 0
	}
	sent := f.now()
	reply, err := f.relays.askRelay(ctx, relay, f.kind, revision, relayWait)
	if err != nil {
		return false
	}
	objects := fromProto(reply.GetObjects())
	switch {
	case reply.GetWhole():
		f.replace(objects, reply.GetRevision())
	case len(objects) > 0:
		f.apply(objects, reply.GetRevision())
	case !f.loaded:
		return false
	}
	f.confirm(sent - time.Duration(reply.GetAgeMs())*time.Millisecond)
	return true
}

func (f *follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := f.now()
	objects, revision, err := f.store.List(ctx, f.kind, false)
	if err != nil {
		return err
	}
	f.replace(objects, revision)
	f.confirm(sent)
	return nil
}

func (f *follower) watch(ctx context.Context) error {
	wait := f.watchWait()
	call, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	sent := f.now()
	objects, revision, err := f.store.Watch(call, f.kind, f.revision, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		f.loaded = false
		return err
	}
	if err != nil {
		return err
	}
	if len(objects) > 0 {
		// More changes may follow in the next answer, so that this one proves nothing.
		f.apply(objects, revision)
		f.delayBatch(ctx)
		return nil
	}
	f.revision = max(f.revision, revision)
	f.confirm(f.confirmedAsOf(sent, wait))
	return nil
}

// watchWait is shorter while the last proof of contact is old, as after a watch that brought changes.
func (f *follower) watchWait() time.Duration {
	if f.now()-f.asOf > f.wait/2 {
		return shortWatchWait
	}
	return f.wait
}

// confirmedAsOf returns as of when a watch without changes shows that there were none: until the end of its wait, or when
// it was sent if the answer came earlier.
func (f *follower) confirmedAsOf(sent, wait time.Duration) time.Duration {
	if f.now()-sent >= wait {
		return sent + wait
	}
	return sent
}

// delayBatch lets changes gather that come in quick succession, each of which would cost a call.
func (f *follower) delayBatch(ctx context.Context) {
	if f.batchDelay > 0 {
		wait.For(ctx, f.batchDelay)
	}
}

func (f *follower) replace(all []platform.Object, revision uint64) {
	f.revision, f.loaded = revision, true
	f.onList(all)
	f.cache.replace(all, revision)
}

func (f *follower) apply(some []platform.Object, revision uint64) {
	f.revision = max(f.revision, revision)
	f.onChange(some)
	f.cache.apply(some, f.revision)
}

func (f *follower) confirm(asOf time.Duration) {
	f.asOf = max(f.asOf, asOf)
	f.onConfirm(f.asOf)
	f.cache.confirm(f.asOf)
}

// logStoreState logs when the store is lost and when it is back.
func (f *follower) logStoreState(ctx context.Context, err error) {
	failed := err != nil && !errors.Is(err, platform.ErrHistoryGone)
	if ctx.Err() != nil || failed == f.storeLost {
		return
	}
	f.storeLost = failed
	if failed {
		event(f.log, EventStoreLost).WithField("kind", f.kind).WithError(err).Warn("the store does not answer; what was read last stays in use")
		return
	}
	event(f.log, EventStoreRecovered).WithField("kind", f.kind).Info("the store answers")
}
