package node

import (
	"context"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/relaytree"
	"github.com/cyclamenstile/cyclamenstile/decision/storeversion"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/contain"
	"github.com/cyclamenstile/cyclamenstile/proxy/node/relaypb"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// callTimeout bounds a call to the store other than a watch. The store answers within milliseconds, and within
	// some hundred milliseconds when it is slow.
	callTimeout = time.Second
	// watchMargin is added to the wait of a watch to get the timeout of its call.
	watchMargin = 800 * time.Millisecond
	// shortWatchWait is the wait of a watch that has to confirm soon that the cache is current.
	shortWatchWait = 20 * time.Millisecond
	// relayWait is the wait of a call to a relay. A lost connection delays changes by up to this time.
	relayWait = time.Second
	// retryMin and retryMax bound the delay after a failed call, which is random so that the instances don't retry
	// at the same time.
	retryMin = 100 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// relayStartTries and relayStartDelay bound the wait for a relay that starts at the same time as this instance. Followers
	// that have objects wait for it too for relayStartTerm after their start: to skip it would make several instances of a region
	// call the store.
	relayStartTerm  = time.Second
	relayStartTries = 12
	relayStartDelay = 50 * time.Millisecond
)

// objectList is all objects of a kind.
type objectList struct {
	objects []platform.Object
	version uint64 // of the store
	// restored: the store came back from a copy since the objects were read last.
	restored bool
}

// errRelayStarting is returned if a relay should be asked again.
var errRelayStarting = errors.New("the relay refuses connections; it may be starting")

// follower keeps a cache of all objects of a kind up to date, from the store or from a relay.
type follower struct {
	store      *platform.Store
	relays     *relayService // nil to use only the store
	outage     *outage       // shared with the other followers
	isProber   bool          // calls the store during an outage, on behalf of all followers
	cache      *objectCache
	kind       string
	wait       time.Duration // of one watch
	batchDelay time.Duration // between the end of a watch that brought changes and the next one
	now        func() time.Duration
	log        logrus.FieldLogger
	// onList receives all objects, onChange those that have changed.
	onList   func(list objectList)
	onChange func(changes []platform.Object)
	// onConfirm receives a time as of which nothing newer existed than what onList and onChange have received, and the
	// store's version.
	onConfirm func(asOf time.Duration, version uint64)
	// isOutdated, if set, reports whether an object is older than what was received before a restore, here or at a peer. The
	// earlier one then stays in the cache, for instances that start later.
	isOutdated func(platform.Object) bool
	// acceptsUnknown: a relay that does not have the kind is not suspected, since its settings may not ask for it.
	acceptsUnknown bool
	// startsFromStore: the first call is to the store, since the data of a relay may be from before this instance started.
	startsFromStore bool
	// maxAge, if set, is the age of the last confirmation from which a watch that brought changes is followed by a list, which confirms
	// at once: changes in quick succession would keep watches from confirming.
	maxAge time.Duration
	// newerPeer, if set, returns the address of a peer that has a newer object than a restored store, or "".
	newerPeer func() string

	revision  uint64 // version, see package storeversion
	loaded    bool
	storeLost bool
	asOf      time.Duration
	// relayStartsAwaited counts the waits for a relay that was starting.
	relayStartsAwaited int
	started            time.Duration // when run was called
}

// run follows the objects until ctx ends.
func (f *follower) run(ctx context.Context) {
	f.started = f.now()
	for ctx.Err() == nil {
		err := contain.Call(func() error { return f.step(ctx) })
		if errors.Is(err, errRelayStarting) {
			wait.For(ctx, relayStartDelay)
			continue
		}
		f.logStoreState(ctx, err)
		f.cache.setSourceLost(err != nil)
		if err == nil || errors.Is(err, platform.ErrHistoryTruncated) {
			f.outage.markReached(f)
			continue
		}
		// List next: it confirms at once that the store answers, whereas another watch might hang like the last one.
		f.loaded = false
		f.outage.wait(ctx, f)
	}
}

func (f *follower) step(ctx context.Context) error {
	if f.newerPeer != nil {
		if address := f.newerPeer(); address != "" && f.fetchFrom(ctx, address) && f.newerPeer() == "" {
			return nil
		}
	}
	if f.startsFromStore {
		f.startsFromStore = false
		return f.list(ctx)
	}
	if f.relays != nil {
		followed, err := f.followParent(ctx)
		if followed || err != nil {
			return err
		}
	}
	if !f.loaded {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

// followParent gets changes from the relay that this instance follows. It returns false if the store has to be called
// instead, and errRelayStarting if the relay should be asked again.
func (f *follower) followParent(ctx context.Context) (followed bool, err error) {
	relay := f.relays.chooseParent()
	if relay.Address == "" {
		return false, nil
	}
	followed, err = f.followRelay(ctx, relay)
	switch {
	case err == nil:
		return followed, nil
	case f.mayAwaitRelay() && errors.Is(err, syscall.ECONNREFUSED):
		f.relayStartsAwaited++
		return false, errRelayStarting
	case f.acceptsUnknown && errors.Is(err, errRelayWithout):
		return false, nil
	}
	f.relays.suspect(relay.Address)
	return false, nil
}

// mayAwaitRelay reports whether to wait for a relay that refuses connections.
func (f *follower) mayAwaitRelay() bool {
	return f.relayStartsAwaited < relayStartTries && (!f.loaded || f.now() < f.started+relayStartTerm)
}

// fetchFrom gets all objects from a peer, and reports whether it did.
func (f *follower) fetchFrom(ctx context.Context, address string) bool {
	f.loaded = false
	followed, err := f.askAndApply(ctx, relaytree.Parent{Address: address, Hops: 1}, 0, true)
	return followed && err == nil
}

// followRelay gets changes from a relay. It returns false if the relay has none although no object was read yet. It asks for
// changes also where the store would be asked for a list: all objects of a relay may be older than those received already.
func (f *follower) followRelay(ctx context.Context, relay relaytree.Parent) (bool, error) {
	followed, err := f.askAndApply(ctx, relay, f.revision, true)
	if !errors.Is(err, errUndecodable) {
		return followed, err
	}
	event(f.log, EventReplyUndecodable).WithFields(logrus.Fields{"kind": f.kind, "relay": relay.Address}).WithError(err).
		Warn("a relay's reply can't be decoded; asking for all objects")
	return f.askAndApply(ctx, relay, 0, false)
}

// askAndApply asks a relay for the changes after a revision, packed or not, and applies its reply.
func (f *follower) askAndApply(ctx context.Context, relay relaytree.Parent, revision uint64, packed bool) (bool, error) {
	wait := relayWait
	if revision != 0 && !f.loaded {
		wait = 0 // the last confirmation may be old
	}
	sentAt := f.now()
	reply, err := f.relays.askRelay(ctx, relay, f.kind, revision, packed, wait)
	if err != nil {
		return false, err
	}
	return f.applyReply(reply, sentAt, relay.Address)
}

// applyReply applies a relay's reply to a call sent at a time. It returns false if the relay has no objects although none was
// read yet, errRelayStale if it doesn't know of a restore of the store, and errUndecodable if its objects can't be decoded.
func (f *follower) applyReply(reply *relaypb.FollowReply, sentAt time.Duration, relay string) (bool, error) {
	if storeversion.Era(reply.GetRevision()) < storeversion.Era(f.revision) {
		return false, errRelayStale
	}
	objects, err := decodeObjects(reply, f.cache.object)
	if err != nil {
		return false, err
	}
	if f.relays != nil && reply.GetRevision() != 0 {
		f.relays.learnEra(storeversion.Era(reply.GetRevision()), relay)
	}
	held := min(time.Duration(reply.GetHeldMs())*time.Millisecond, f.now()-sentAt)
	asOf := sentAt + held - time.Duration(reply.GetAgeMs())*time.Millisecond
	switch {
	case reply.GetWhole():
		f.replace(objects, reply.GetRevision(), asOf)
	case len(objects) > 0:
		f.apply(objects, reply.GetRevision())
	case f.revision == 0:
		return false, nil
	}
	f.loaded = true
	f.confirm(asOf)
	return true, nil
}

func (f *follower) list(ctx context.Context) error {
	list, sentAt, err := f.readList(ctx)
	if err != nil {
		return err
	}
	f.adopt(list, sentAt)
	return nil
}

// readList reads all objects from the store, and returns when the call was sent.
func (f *follower) readList(ctx context.Context) (list objectList, sentAt time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt = f.now()
	list.objects, list.version, err = f.store.List(ctx, f.kind, false)
	return list, sentAt, err
}

func (f *follower) adopt(list objectList, asOf time.Duration) {
	f.replace(list.objects, list.version, asOf)
	f.confirm(asOf)
}

func (f *follower) watch(ctx context.Context) error {
	wait := f.watchWait()
	callCtx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	sentAt := f.now()
	objects, revision, err := f.store.Watch(callCtx, f.kind, f.revision, wait)
	if errors.Is(err, platform.ErrHistoryTruncated) {
		f.loaded = false
		return err
	}
	if err != nil {
		return err
	}
	if len(objects) > 0 {
		// The next answer may bring more changes, so this one does not confirm that the cache is current.
		f.apply(objects, revision)
		f.loaded = f.maxAge == 0 || f.now()-f.asOf < f.maxAge
		f.delayBatch(ctx)
		return nil
	}
	f.revision = max(f.revision, revision)
	f.confirm(f.confirmedAsOf(sentAt, wait))
	return nil
}

// watchWait returns the wait of the next watch. It is shorter while the last confirmation is old, such as after a watch
// that brought changes.
func (f *follower) watchWait() time.Duration {
	if f.now()-f.asOf > f.wait/2 {
		return shortWatchWait
	}
	return f.wait
}

// confirmedAsOf returns the time as of which a watch without changes confirms that there were none: the end of its
// wait, or the time when it was sent if the answer came earlier.
func (f *follower) confirmedAsOf(sentAt, wait time.Duration) time.Duration {
	if f.now()-sentAt >= wait {
		return sentAt + wait
	}
	return sentAt
}

// delayBatch delays the next watch so that it returns changes in quick succession together: each would cost a call.
func (f *follower) delayBatch(ctx context.Context) {
	if f.batchDelay > 0 {
		wait.For(ctx, f.batchDelay)
	}
}

func (f *follower) replace(objects []platform.Object, revision uint64, asOf time.Duration) {
	isRestored := f.revision != 0 && storeversion.Era(revision) > storeversion.Era(f.revision)
	objects = f.withoutOutdated(objects, revision, isRestored)
	f.revision, f.loaded = revision, true
	f.onList(objectList{objects, revision, isRestored})
	f.cache.replace(objects, revision, asOf)
}

func (f *follower) apply(changes []platform.Object, revision uint64) {
	f.revision = max(f.revision, revision)
	changes = f.withoutOutdated(changes, f.revision, false)
	f.onChange(changes)
	f.cache.apply(changes, f.revision)
}

// withoutOutdated replaces outdated objects by those received earlier, if the store has eras. isList tells that objects are all
// that a restored store has, in which case those that it lacks are kept too.
func (f *follower) withoutOutdated(objects []platform.Object, revision uint64, isList bool) []platform.Object {
	if f.isOutdated == nil || storeversion.Era(revision) == 0 {
		return objects
	}
	earlier := f.cache.all()
	var out []platform.Object
	for _, o := range objects {
		if e, ok := earlier[o.Name]; ok && !o.Deleted && f.isOutdated(o) {
			o = e
		}
		out = append(out, o)
		delete(earlier, o.Name)
	}
	if isList {
		out = slices.AppendSeq(out, maps.Values(earlier))
	}
	return out
}

func (f *follower) confirm(asOf time.Duration) {
	f.asOf = max(f.asOf, asOf)
	f.onConfirm(f.asOf, f.revision)
	f.cache.confirm(f.asOf)
}

// logStoreState logs when the store stops answering and when it answers again.
func (f *follower) logStoreState(ctx context.Context, err error) {
	failed := err != nil && !errors.Is(err, platform.ErrHistoryTruncated)
	if ctx.Err() != nil || failed == f.storeLost {
		return
	}
	f.storeLost = failed
	if failed {
		event(f.log, EventStoreUnavailable).WithField("kind", f.kind).WithError(err).Warn("the store does not answer; the data read last stays in use")
		return
	}
	event(f.log, EventStoreRecovered).WithField("kind", f.kind).Info("the store answers")
}
