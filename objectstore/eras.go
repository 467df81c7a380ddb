package objectstore

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/storeversion"
)

// ErrRestored: the store came back from a copy since the version was read or while the call was under way. What the call has
// changed, if anything, is unknown.
var ErrRestored = errors.New("the store came back from a copy meanwhile; read the object again and repeat the change on top of it")

// EraChange is an era that was learned. Restored is set if an earlier one was known.
type EraChange struct {
	Before, Now uint64
	Source      string // who told
	Restored    bool
}

// Eras knows the era of a store on behalf of all of its users in a process. It is safe for concurrent use.
type Eras struct {
	now      func() time.Duration
	onChange func(EraChange)

	mu      sync.Mutex
	tracker storeversion.Tracker
}

// NewEras returns Eras that know none. now is a clock that advances while the machine is suspended. onChange, which may be nil,
// is called after each change.
func NewEras(now func() time.Duration, onChange func(EraChange)) *Eras {
	if onChange == nil {
		onChange = func(EraChange) {}
	}
	return &Eras{now: now, onChange: onChange}
}

// Learn records an era that a source has told. Earlier eras than the known one are ignored.
func (e *Eras) Learn(era uint64, source string) {
	e.mu.Lock()
	change := EraChange{Before: e.tracker.Era(), Now: era, Source: source}
	change.Restored = e.tracker.Learn(e.now(), era)
	changed := change.Restored || e.tracker.Era() > change.Before
	e.mu.Unlock()
	if changed {
		e.onChange(change)
	}
}

// Era returns the latest known era, or 0.
func (e *Eras) Era() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Era()
}

// Restored reports whether the store has come back from a copy since the process started, as far as it knows.
func (e *Eras) Restored() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Restores() > 0
}

func (e *Eras) latest() (era uint64, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Era(), e.tracker.Known()
}

// SettledFor reports whether the store is known not to have been restored in the last term.
func (e *Eras) SettledFor(term time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.SettledFor(e.now(), term)
}

// Check returns ErrRestored if an era is not the latest known one. It accepts any era before the first is known.
func (e *Eras) Check(era uint64) error {
	if latest, known := e.latest(); known && era != latest {
		return errors.Wrapf(ErrRestored, "era %d, now %d", era, latest)
	}
	return nil
}

// Conditional makes a call whose condition was read at a version, 0 for an absent object, and returns the era in which it was
// executed. It returns ErrRestored if that is not the era of the version, without making the call if this is known before.
func (e *Eras) Conditional(version uint64, call func() (era uint64, err error)) (era uint64, err error) {
	prepared, known := storeversion.Era(version), true
	if version == 0 {
		prepared, known = e.latest()
	}
	if err := e.Check(prepared); known && err != nil {
		return 0, err
	}
	era, err = call()
	if err == nil && known && era != prepared {
		err = errors.Wrapf(ErrRestored, "prepared in era %d, executed in era %d", prepared, era)
	}
	return era, err
}
