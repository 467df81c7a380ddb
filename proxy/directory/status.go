package directory

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
)

// StatusPrefix is the key prefix of status objects; the instance ID follows it.
const StatusPrefix = "status/"

const (
	// referenceInstances is the fleet size for which StatusJitter and StatusMinInterval are given.
	referenceInstances = 2100
	// minScaledInterval limits the write rate of one instance when manifests change in quick succession.
	minScaledInterval = 250 * time.Millisecond
)

// Status is the value of a status object.
type Status struct {
	Instance     string            `json:"instance"`
	Version      uint64            `json:"version"` // of the manifest in force, 0 if none
	ReportedAt   time.Time         `json:"reportedAt"`
	KeyedAllowed bool              `json:"keyedAllowed"`
	Health       map[string]string `json:"health,omitempty"`
}

// statusSchedule decides when the next status write is due.
type statusSchedule struct {
	interval, maxJitter, minInterval time.Duration
	last                             time.Duration // time of the last attempt
	due                              time.Duration
}

// recordWrite schedules the next regular write after a successful one.
func (s *statusSchedule) recordWrite(now time.Duration, j *jitter) {
	s.last = now
	s.due = now + s.interval + j.upTo(s.interval/10)
}

// recordFailure schedules the next attempt after a failure, no sooner than minInterval.
func (s *statusSchedule) recordFailure(now, backoff time.Duration) {
	s.last = now
	s.due = now + max(backoff, s.minInterval)
}

// expedite moves the next write forward to a random time within maxJitter, but keeps minInterval.
func (s *statusSchedule) expedite(now time.Duration, j *jitter) {
	earliest := max(now+j.upTo(s.maxJitter), s.last+s.minInterval)
	s.due = min(s.due, earliest)
}

// reportStatus writes the status object until ctx ends. The first write follows the first
// adoption, or is made after StatusJitter.
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
		event(d.cfg.Log, EventStatusWriteFailed).WithError(err).Warn("failed to write the status object; retrying with backoff")
	}
}

// waitUntilDue blocks until a write is due. It returns false if ctx has ended.
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

// scaleToFleet shortens a duration given for referenceInstances in proportion to the number of instances,
// so that operators of a small deployment see an adoption quickly.
func (d *Directory) scaleToFleet(atReference time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	scaled := atReference * time.Duration(d.listedInstances) / referenceInstances
	return min(atReference, max(scaled, minScaledInterval))
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
		return errors.Wrap(err, "encode the status object")
	}
	ctx, cancel := context.WithTimeout(ctx, d.cfg.StatusTimeout)
	defer cancel()
	return w.write(ctx, value)
}

// DeleteStatus deletes the status object, so that an instance that has left is no longer shown. It
// must be called after Run has returned.
func (d *Directory) DeleteStatus(ctx context.Context) error {
	w := statusWriter{store: d.cfg.Store, key: StatusPrefix + d.cfg.Instance}
	if err := w.loadVersion(ctx); err != nil || w.version == 0 {
		return err
	}
	return w.store.Delete(ctx, w.key, w.version)
}

// statusWriter caches the version of the status object, so that a regular write takes a single call.
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
		w.versionKnown = false // the put may have taken effect, or another process with this ID has written
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
