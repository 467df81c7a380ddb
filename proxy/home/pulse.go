package home

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// alivePeriod is the time between two Alive messages of one side.
	alivePeriod = 500 * time.Millisecond
	// borrowerMaxMissed and homeMaxMissed are the periods without progress after which a side takes
	// the stream for silent. The home waits longer, because it ends transactions of a borrower that
	// only paused.
	borrowerMaxMissed = 4
	homeMaxMissed     = 10
)

// errSilent ends a checkout whose stream carries nothing any more.
var errSilent = errors.New("the stream between this instance and the home instance went silent")

// keepalive sends Alive messages on a stream and finds out when the other side's stay away. It counts
// periods instead of reading a clock, so that a process that was paused does not take its own pause
// for silence.
type keepalive struct {
	period    time.Duration
	maxMissed int
	send      func() error // of one Alive
	onSilent  func()       // called once at most

	receiving atomic.Bool   // a receive waits for the other side
	progress  atomic.Uint64 // grows with each message that shows that the path works
	sending   atomic.Bool

	mu           sync.Mutex
	timer        *time.Timer
	stopped      bool
	lastProgress uint64 // progress at the last tick
	missed       int    // periods without progress while waiting
}

func (p *keepalive) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(p.period, p.tick)
}

func (p *keepalive) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	if p.timer != nil {
		p.timer.Stop()
	}
}

// tick ends one period.
func (p *keepalive) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	if p.missedTooMany() {
		p.stopped = true
		go p.onSilent()
		return
	}
	p.timer.Reset(p.period)
	// A send blocks while the path takes no data, which must not keep the periods from being counted.
	if p.sending.CompareAndSwap(false, true) {
		go p.sendOne()
	}
}

func (p *keepalive) missedTooMany() bool {
	now := p.progress.Load()
	if !p.receiving.Load() || now != p.lastProgress {
		p.lastProgress, p.missed = now, 0
		return false
	}
	p.missed++
	return p.missed > p.maxMissed
}

func (p *keepalive) sendOne() {
	defer p.sending.Store(false)
	if p.send() != nil {
		p.stop()
	}
}
