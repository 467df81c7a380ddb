package database

import (
	"sync"
	"time"
)

// lockTable holds the row locks of open transactions by key. Deadlocks are not detected; they end with
// the lock timeout.
type lockTable struct {
	mu    sync.Mutex
	locks map[string]*rowLock
}

type rowLock struct {
	owner    *transaction
	released chan struct{}
}

// acquire locks key for t. It fails after the timeout, on a signal from interrupt or once stop is
// closed.
func (l *lockTable) acquire(t *transaction, key string, timeout time.Duration, interrupt, stop <-chan struct{}) error {
	var expired <-chan time.Time
	for {
		released := l.tryAcquire(t, key)
		if released == nil {
			return nil
		}
		if expired == nil {
			timer := time.NewTimer(timeout)
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-released:
		case <-expired:
			return errLockTimeout
		case <-interrupt:
			return errCanceled
		case <-stop:
			return errStopped
		}
	}
}

// tryAcquire locks key for t and returns nil, or a channel that is closed when the holder
// releases the lock.
func (l *lockTable) tryAcquire(t *transaction, key string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	lock := l.locks[key]
	if lock == nil {
		l.locks[key] = &rowLock{owner: t, released: make(chan struct{})}
		t.locked = append(t.locked, key)
		return nil
	}
	if lock.owner == t {
		return nil
	}
	return lock.released
}

func (l *lockTable) release(t *transaction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range t.locked {
		close(l.locks[key].released)
		delete(l.locks, key)
	}
	t.locked = nil
}

// transaction buffers the writes of an open transaction and makes them visible to its own reads.
type transaction struct {
	implicit bool // ends at the next Sync or at the end of the query message
	readOnly bool
	ops      []op
	written  map[string]*string // new values of the written keys; nil for a deleted key
	locked   []string
}

func (t *transaction) write(o op, result *string) {
	if t.written == nil {
		t.written = make(map[string]*string)
	}
	t.ops = append(t.ops, o)
	t.written[o.Key] = result
}
