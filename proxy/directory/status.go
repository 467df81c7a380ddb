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
	// statusInstances is the number of instances that the defaults of StatusSpread and StatusGap
	// are meant for.
	statusInstances = 2100
	// leastStatusPace bounds the writes of one instance while manifests follow each other closely.
	leastStatusPace = 250 * time.Millisecond
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
	interval, spread, gap time.Duration
	last                  time.Duration // time of the latest attempt
	due                   time.Duration
}

// wrote plans the next regular write after an attempt.
func (s *statusSchedule) wrote(now time.Duration, j *jitter) {
	s.last = now
	s.due = now + s.interval + j.upTo(s.interval/10)
}

// failed plans the next attempt after a failure, no sooner than the gap.
func (s *statusSchedule) failed(now, backoff time.Duration) {
	s.last = now
	s.due = now + max(backoff, s.gap)
}

// adopted brings the next write forward.
func (s *statusSchedule) adopted(now time.Duration, j *jitter) {
	soon := max(now+j.upTo(s.spread), s.last+s.gap)
	s.due = min(s.due, soon)
}

// reportStatus writes the status object until ctx ends. The first write follows the first
// adoption, or comes after the spread.
func (d *Directory) reportStatus(ctx context.Context) {
	now := d.cfg.Now()
	schedule := statusSchedule{
		interval: d.cfg.StatusInterval,
		spread:   d.cfg.StatusSpread,
		gap:      d.cfg.StatusGap,
		last:     now - d.cfg.StatusGap,
		due:      now + d.cfg.StatusSpread,
	}
	writer := statusWriter{store: d.cfg.Store, key: StatusPrefix + d.cfg.Instance}
	failures := 0
	for {
		if !d.awaitStatus(ctx, &schedule) {
			return
		}
		if err := d.writeStatus(ctx, &writer); err != nil {
			failures++
			d.logStatusNotSaved(failures, err)
			schedule.failed(d.cfg.Now(), d.jitter.backoff(failures, d.cfg.BackoffBase, d.cfg.BackoffCap))
			continue
		}
		failures = 0
		schedule.wrote(d.cfg.Now(), d.jitter)
	}
}

func (d *Directory) logStatusNotSaved(failures int, err error) {
	if failures == 1 {
		event(d.cfg.Log, EventStatusNotSaved).WithError(err).Warn("status was not saved; retrying with back-off")
	}
}

// awaitStatus returns true when a write is due and false when ctx has ended.
func (d *Directory) awaitStatus(ctx context.Context, s *statusSchedule) bool {
	for {
		now := d.cfg.Now()
		if now >= s.due {
			return ctx.Err() == nil
		}
		timer := time.NewTimer(s.due - now)
		select {
		case <-timer.C:
		case <-d.changed:
			s.spread = d.statusPace(d.cfg.StatusSpread)
			s.gap = d.statusPace(d.cfg.StatusGap)
			s.adopted(d.cfg.Now(), d.jitter)
		case <-ctx.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

// statusPace shortens a time that is meant for statusInstances when fewer instances share the store,
// so that operators of a small deployment see an adoption at once.
func (d *Directory) statusPace(full time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	share := full * time.Duration(d.instances) / statusInstances
	return min(full, max(share, leastStatusPace))
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

// Retire removes the status object, so that an instance that has left is not shown any more. It
// is called once Run has returned.
func (d *Directory) Retire(ctx context.Context) error {
	w := statusWriter{store: d.cfg.Store, key: StatusPrefix + d.cfg.Instance}
	if err := w.learnVersion(ctx); err != nil || w.version == 0 {
		return err
	}
	return w.store.Delete(ctx, w.key, w.version)
}

// statusWriter remembers the version of the status object, so that a regular write is one call.
type statusWriter struct {
	store   objectstore.Store
	key     string
	known   bool
	version uint64
}

func (w *statusWriter) write(ctx context.Context, value []byte) error {
	if err := w.learnVersion(ctx); err != nil {
		return err
	}
	version, err := w.store.Put(ctx, w.key, value, w.version)
	if err != nil {
		w.known = false // the put may have taken effect, or a predecessor with this id has written
		return err
	}
	w.version = version
	return nil
}

func (w *statusWriter) learnVersion(ctx context.Context) error {
	if w.known {
		return nil
	}
	object, err := w.store.Get(ctx, w.key)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	w.version = object.Version
	w.known = true
	return nil
}
