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
	// watchAllowance is the time beyond its wait after which a watch counts as lost.
	watchAllowance = 800 * time.Millisecond
	// hurriedWait is the wait of a watch that is to prove contact soon.
	hurriedWait = 20 * time.Millisecond
	// relayWait is the wait of a call to a relay, which a lost connection delays the news by.
	relayWait = time.Second
	// retryMin and retryMax bound the wait after a failed call, which is random so that the instances
	// don't call together.
	retryMin = 100 * time.Millisecond
	retryMax = 400 * time.Millisecond
)

// follower keeps a copy of all objects of a kind, from the store or from a relay.
type follower struct {
	store  *platform.Store
	relays *relays // nil: the store only
	outage *outage // shared with the other followers
	probes bool    // it calls the store in an outage, for all
	copy   *copyOf
	kind   string
	wait   time.Duration // of one watch
	gap    time.Duration // between the end of a watch that brought changes and the next one
	now    func() time.Duration
	log    logrus.FieldLogger
	// listed and changed take the objects.
	listed  func(all []platform.Object)
	changed func(some []platform.Object)
	// contact is told as of when nothing newer existed than what listed and changed have brought.
	contact func(asOf time.Duration)

	revision uint64
	known    bool
	lost     bool
	asOf     time.Duration
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		f.report(ctx, err)
		if err == nil || errors.Is(err, platform.ErrHistoryGone) {
			f.outage.back(f)
			continue
		}
		// A list proves contact at once, where another watch may hang like the last one.
		f.known = false
		f.outage.wait(ctx, f)
	}
}

func (f *follower) step(ctx context.Context) error {
	if f.relays != nil {
		if relay := f.relays.choose(); relay.Address != "" && f.relayed(ctx, relay) {
			return nil
		}
	}
	if !f.known {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

// relayed asks a relay for changes. It reports false when the store has to be asked.
func (f *follower) relayed(ctx context.Context, relay relaytree.Parent) bool {
	revision := f.revision
	if !f.known {
		revision = 0
	}
	sent := f.now()
	reply, err := f.relays.follow(ctx, relay, f.kind, revision, relayWait)
	if err != nil {
		return false
	}
	objects := fromRelay(reply.GetObjects())
	switch {
	case reply.GetWhole():
		f.replace(objects, reply.GetRevision())
	case len(objects) > 0:
		f.apply(objects, reply.GetRevision())
	case !f.known:
		return false
	}
	f.prove(sent - time.Duration(reply.GetAgeMs())*time.Millisecond)
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
	f.prove(sent)
	return nil
}

func (f *follower) watch(ctx context.Context) error {
	wait := f.watchWait()
	call, cancel := context.WithTimeout(ctx, wait+watchAllowance)
	defer cancel()
	sent := f.now()
	objects, revision, err := f.store.Watch(call, f.kind, f.revision, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		f.known = false
		return err
	}
	if err != nil {
		return err
	}
	if len(objects) > 0 {
		// More changes may follow in the next answer, so that this one proves nothing.
		f.apply(objects, revision)
		f.pause(ctx)
		return nil
	}
	f.revision = max(f.revision, revision)
	f.prove(f.proof(sent, wait))
	return nil
}

// watchWait is shorter while the last proof of contact is old, as after a watch that brought changes.
func (f *follower) watchWait() time.Duration {
	if f.now()-f.asOf > f.wait/2 {
		return hurriedWait
	}
	return f.wait
}

// proof returns as of when a watch without changes shows that there were none: until the end of its wait, or when
// it was sent if the answer came earlier.
func (f *follower) proof(sent, wait time.Duration) time.Duration {
	if f.now()-sent >= wait {
		return sent + wait
	}
	return sent
}

// pause lets changes gather that come in quick succession, each of which would cost a call.
func (f *follower) pause(ctx context.Context) {
	if f.gap > 0 {
		wait.For(ctx, f.gap)
	}
}

func (f *follower) replace(all []platform.Object, revision uint64) {
	f.revision, f.known = revision, true
	f.listed(all)
	f.copy.replace(all, revision)
}

func (f *follower) apply(some []platform.Object, revision uint64) {
	f.revision = max(f.revision, revision)
	f.changed(some)
	f.copy.apply(some, f.revision)
}

func (f *follower) prove(asOf time.Duration) {
	f.asOf = max(f.asOf, asOf)
	f.contact(f.asOf)
	f.copy.prove(f.asOf)
}

// report logs when the store is lost and when it is back.
func (f *follower) report(ctx context.Context, err error) {
	failed := err != nil && !errors.Is(err, platform.ErrHistoryGone)
	if ctx.Err() != nil || failed == f.lost {
		return
	}
	f.lost = failed
	if failed {
		event(f.log, EventStoreLost).WithField("kind", f.kind).WithError(err).Warn("the store does not answer; what was read last stays in use")
		return
	}
	event(f.log, EventStoreBack).WithField("kind", f.kind).Info("the store answers")
}
