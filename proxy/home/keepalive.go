package home

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// alivePeriod is the interval at which each side sends Alive messages.
	alivePeriod = 500 * time.Millisecond
	// borrowerMaxMissed and homeMaxMissed are the numbers of periods without progress that a side
	// tolerates before it considers the stream silent. The home tolerates more, because it would
	// otherwise end transactions of a borrower that was only paused.
	borrowerMaxMissed = 4
	homeMaxMissed     = 10
)

// errSilent ends a checkout whose stream has made no progress for too long.
var errSilent = errors.New("the stream between this instance and the home instance went silent")

// keepalive sends Alive messages on a stream and detects when none arrive from the other side. It
// counts periods instead of comparing timestamps, so that a process that was paused does not mistake
// its own pause for silence.
type keepalive struct {
	period    time.Duration
	maxMissed int
	send      func() error // sends one Alive message
	onSilent  func()       // called at most once

	receiving atomic.Bool   // a receive is waiting for a message
	progress  atomic.Uint64 // incremented by each message that shows that the path works
	sending   atomic.Bool

	mu           sync.Mutex
	timer        *time.Timer
	stopped      bool
	lastProgress uint64 // value of progress at the last tick
	missed       int    // consecutive periods without progress while receiving
}

func (k *keepalive) start() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.timer = time.AfterFunc(k.period, k.tick)
}

func (k *keepalive) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	if k.timer != nil {
		k.timer.Stop()
	}
}

// tick ends one period.
func (k *keepalive) tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return
	}
	if k.missedTooMany() {
		k.stopped = true
		go k.onSilent()
		return
	}
	k.timer.Reset(k.period)
	// Sends in a goroutine: a send blocks while the path accepts no data, and the periods must be
	// counted meanwhile.
	if k.sending.CompareAndSwap(false, true) {
		go k.sendOne()
	}
}

func (k *keepalive) missedTooMany() bool {
	now := k.progress.Load()
	if !k.receiving.Load() || now != k.lastProgress {
		k.lastProgress, k.missed = now, 0
		return false
	}
	k.missed++
	return k.missed > k.maxMissed
}

func (k *keepalive) sendOne() {
	defer k.sending.Store(false)
	if k.send() != nil {
		k.stop()
	}
}
