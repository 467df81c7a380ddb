package directory

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
)

// StatusPrefix begins the keys of the status objects; the instance id follows.
const StatusPrefix = "status/"

const (
	// referenceInstances is the number of instances that the defaults of StatusJitter and StatusMinInterval
	// are meant for.
	referenceInstances = 2100
	// minScaledInterval bounds the writes of one instance while manifests follow each other closely.
	minScaledInterval = 250 * time.Millisecond
)

// Status is the value of a status object.
type Status struct {
	Instance     string            `json:"instance"`
	Version      uint64            `json:"version"` // in force, 0 if none
	ReportedAt   time.Time         `json:"reportedAt"`
	KeyedAllowed bool              `json:"keyedAllowed"`
	Health       map[string]string `json:"health,omitempty"`
}

// statusSchedule decides when the next status write is due.
type statusSchedule struct {
	interval, maxJitter, minInterval time.Duration
	last                             time.Duration // time of the latest attempt
	due                              time.Duration
}

// recordWrite plans the next regular write after an attempt.
func (s *statusSchedule) recordWrite(now time.Duration, j *jitter) {
	s.last = now
	s.due = now + s.interval + j.upTo(s.interval/10)
}

// recordFailure plans the next attempt after a failure, no sooner than the gap.
func (s *statusSchedule) recordFailure(now, backoff time.Duration) {
	s.last = now
	s.due = now + max(backoff, s.minInterval)
}

// expedite brings the next write forward.
func (s *statusSchedule) expedite(now time.Duration, j *jitter) {
	soon := max(now+j.upTo(s.maxJitter), s.last+s.minInterval)
	s.due = min(s.due, soon)
}

// reportStatus writes the status object until ctx ends. The first write follows the first
// adoption, or comes after the spread.
func (d *Directory) reportStatus(ctx context.Context) {
	now := d.cfg.Now()
	schedule := statusSchedule{
		interval:    d.cfg.StatusInterval,
		maxJitter:   d.cfg.StatusJitter,
		minInterval: d.cfg.StatusMinInterval,
		last:        now - d.cfg.StatusMinInterval,
		due:         now + d.cfg.StatusJitter,
	}
	writer := statusWriter{store: d.cfg.Store, key: StatusPrefix + d.cfg.Instance}
	failures := 0
	for {
		if !d.waitUntilDue(ctx, &schedule) {
			return
		}
		if err := d.writeStatus(ctx, &writer); err != nil {
			failures++
			d.logStatusWriteFailed(failures, err)
			schedule.recordFailure(d.cfg.Now(), d.jitter.backoff(failures, d.cfg.BackoffBase, d.cfg.BackoffCap))
			continue
		}
		failures = 0
		schedule.recordWrite(d.cfg.Now(), d.jitter)
	}
}

func (d *Directory) logStatusWriteFailed(failures int, err error) {
	if failures == 1 {
		event(d.cfg.Log, EventStatusWriteFailed).WithError(err).Warn("status was not saved; retrying with back-off")
	}
}

// waitUntilDue returns true when a write is due and false when ctx has ended.
func (d *Directory) waitUntilDue(ctx context.Context, s *statusSchedule) bool {
	for {
		now := d.cfg.Now()
		if now >= s.due {
			return ctx.Err() == nil
		}
		timer := time.NewTimer(s.due - now)
		select {
		case <-timer.C:
		case <-d.reportRequested:
			s.maxJitter = d.scaleToFleet(d.cfg.StatusJitter)
			s.minInterval = d.scaleToFleet(d.cfg.StatusMinInterval)
			s.expedite(d.cfg.Now(), d.jitter)
		case <-ctx.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

// scaleToFleet shortens a time that is meant for referenceInstances when fewer instances share the store,
// so that operators of a small deployment see an adoption at once.
func (d *Directory) scaleToFleet(full time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	share := full * time.Duration(d.listedInstances) / referenceInstances
	return min(full, max(share, minScaledInterval))
}

func (d *Directory) writeStatus(ctx context.Context, w *statusWriter) error {
	status := Status{
		Instance:     d.cfg.Instance,
		Version:      d.State().Version,
		ReportedAt:   d.cfg.WallClock().UTC(),
		KeyedAllowed: d.keyedAllowed(),
	}
	if d.cfg.Health != nil {
		status.Health = d.cfg.Health()
	}
	value, err := json.Marshal(status)
	if err != nil {
		return errors.Wrap(err, "encode the status")
	}
	ctx, cancel := context.WithTimeout(ctx, d.cfg.StatusTimeout)
	defer cancel()
	return w.write(ctx, value)
}

// DeleteStatus removes the status object, so that an instance that has left is not shown any more. It
// is called once Run has returned.
func (d *Directory) DeleteStatus(ctx context.Context) error {
	w := statusWriter{store: d.cfg.Store, key: StatusPrefix + d.cfg.Instance}
	if err := w.loadVersion(ctx); err != nil || w.version == 0 {
		return err
	}
	return w.store.Delete(ctx, w.key, w.version)
}

// statusWriter remembers the version of the status object, so that a regular write is one call.
type statusWriter struct {
	store        objectstore.Store
	key          string
	versionKnown bool
	version      uint64
}

func (w *statusWriter) write(ctx context.Context, value []byte) error {
	if err := w.loadVersion(ctx); err != nil {
		return err
	}
	version, err := w.store.Put(ctx, w.key, value, w.version)
	if err != nil {
		w.versionKnown = false // the put may have taken effect, or a predecessor with this id has written
		return err
	}
	w.version = version
	return nil
}

func (w *statusWriter) loadVersion(ctx context.Context) error {
	if w.versionKnown {
		return nil
	}
	object, err := w.store.Get(ctx, w.key)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	w.version = object.Version
	w.versionKnown = true
	return nil
}
