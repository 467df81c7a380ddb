package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

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
	// retryMin and retryMax bound the wait after a failed call, which is random so that the instances
	// don't call together.
	retryMin = 100 * time.Millisecond
	retryMax = 400 * time.Millisecond
)

// follower keeps a copy of all objects of a kind.
type follower struct {
	store *platform.Store
	kind  string
	wait  time.Duration // of one watch
	now   func() time.Duration
	log   logrus.FieldLogger
	// listed and changed take the objects.
	listed  func(all []platform.Object)
	changed func(some []platform.Object)
	// contact is told about answers after which nothing that the store held when the call was sent is missing:
	// lists, and watches that ended without a change, with the time that they were asked to wait.
	contact func(sent, waited time.Duration)
	// hurry, if set, asks for watches that end at once.
	hurry func() bool

	revision uint64
	known    bool
	lost     bool
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		f.report(ctx, err)
		if err == nil || errors.Is(err, platform.ErrHistoryGone) {
			continue
		}
		// A list proves contact at once, where another watch may hang like the last one.
		f.known = false
		wait.For(ctx, retryMin+rand.N(retryMax-retryMin))
	}
}

func (f *follower) step(ctx context.Context) error {
	if !f.known {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

func (f *follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := f.now()
	objects, revision, err := f.store.List(ctx, f.kind, false)
	if err != nil {
		return err
	}
	f.revision, f.known = revision, true
	f.listed(objects)
	f.contact(sent, 0)
	return nil
}

func (f *follower) watch(ctx context.Context) error {
	wait := f.wait
	if f.hurry != nil && f.hurry() {
		wait = hurriedWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchAllowance)
	defer cancel()
	sent := f.now()
	objects, revision, err := f.store.Watch(ctx, f.kind, f.revision, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		f.known = false
		return err
	}
	if err != nil {
		return err
	}
	f.revision = max(f.revision, revision)
	if len(objects) > 0 {
		// More changes may follow in the next answer.
		f.changed(objects)
		return nil
	}
	f.contact(sent, wait)
	return nil
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
