package directory

import (
	"context"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// watchMarginFraction is the part of the contact timeout that remains when the store answers a watch,
// for the transfer of the answer and the start of the next watch.
const watchMarginFraction = 0.3

// watchStore follows the manifest object until ctx ends.
func (d *Directory) watchStore(ctx context.Context) {
	var after uint64
	failures := 0
	for ctx.Err() == nil {
		next, err := d.watchOnce(ctx, after)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			d.logStoreUnavailable(failures, err)
			wait.For(ctx, d.jitter.backoff(failures, d.cfg.BackoffBase, d.cfg.BackoffCap))
			continue
		}
		d.logStoreRecovered(failures)
		failures = 0
		after = next
		wait.For(ctx, d.jitter.upTo(d.cfg.WatchJitter))
	}
}

func (d *Directory) watchOnce(ctx context.Context, after uint64) (next uint64, err error) {
	sent := d.cfg.Now()
	maxWait := d.watchWait(sent)
	ctx, cancel := context.WithTimeout(ctx, maxWait+d.cfg.WatchMargin)
	defer cancel()
	changes, next, err := d.cfg.Store.Watch(ctx, manifest.StoreKey, after)
	if err != nil {
		return after, err
	}
	revision := d.applyChanges(changes)
	if len(changes) == 0 {
		// The store saw no change during the whole wait, so contact counts from its end. The time
		// elapsed here may be longer, since this process may have been paused after the answer.
		sent += min(d.cfg.Now()-sent, maxWait)
	}
	d.storeAnswered(sent, revision)
	return max(next, after), nil
}

// watchWait returns a wait that lets the answer arrive before the proof of contact expires.
func (d *Directory) watchWait(now time.Duration) time.Duration {
	until := d.keyedUntil.Load()
	if until == keyedNotAllowed {
		return d.cfg.WatchWait
	}
	margin := time.Duration(watchMarginFraction * float64(d.cfg.ContactTimeout))
	return max(min(time.Duration(until)-now-margin, d.cfg.WatchWait), 0)
}

// applyChanges offers the manifest among the changes and returns its revision. A rejected
// manifest is logged and doesn't stop the watch.
func (d *Directory) applyChanges(changes []objectstore.Object) (revision uint64) {
	for _, object := range changes {
		if object.Key != manifest.StoreKey {
			continue
		}
		revision = object.Version
		if object.Deleted {
			event(d.cfg.Log, EventDeleted).Warn("manifest object was deleted; the one in force stays, apply one with a higher version")
			continue
		}
		_ = d.offerStored(object.Value) // logged by reject
	}
	return revision
}

func (d *Directory) logStoreUnavailable(failures int, err error) {
	if failures == 1 {
		event(d.cfg.Log, EventStoreUnavailable).WithError(err).Warn("store does not answer; retrying with backoff, the manifest in force stays")
	}
}

func (d *Directory) logStoreRecovered(failures int) {
	if failures > 0 {
		event(d.cfg.Log, EventStoreRecovered).WithField("failures", failures).Info("store answers again")
	}
}
