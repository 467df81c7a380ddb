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
	// borrowerPatience and homePatience are the periods without progress after which a side takes
	// the stream for silent. The home waits longer, because it ends transactions of a borrower that
	// only paused.
	borrowerPatience = 4
	homePatience     = 10
)

// errSilent ends a checkout whose stream carries nothing any more.
var errSilent = errors.New("the stream between this instance and the home instance went silent")

// pulse sends Alive messages on a stream and finds out when the other side's stay away. It counts
// periods instead of reading a clock, so that a process that was paused does not take its own pause
// for silence.
type pulse struct {
	period   time.Duration
	patience int
	send     func() error // of one Alive
	silent   func()       // called once at most

	waiting  atomic.Bool   // a receive waits for the other side
	progress atomic.Uint64 // grows with each message that shows that the path works
	sending  atomic.Bool

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	seen    uint64 // progress at the last tick
	missed  int    // periods without progress while waiting
}

func (p *pulse) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(p.period, p.tick)
}

func (p *pulse) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	if p.timer != nil {
		p.timer.Stop()
	}
}

// tick ends one period.
func (p *pulse) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	if p.missedTooMany() {
		p.stopped = true
		go p.silent()
		return
	}
	p.timer.Reset(p.period)
	// A send blocks while the path takes no data, which must not keep the periods from being counted.
	if p.sending.CompareAndSwap(false, true) {
		go p.sendOne()
	}
}

func (p *pulse) missedTooMany() bool {
	now := p.progress.Load()
	if !p.waiting.Load() || now != p.seen {
		p.seen, p.missed = now, 0
		return false
	}
	p.missed++
	return p.missed > p.patience
}

func (p *pulse) sendOne() {
	defer p.sending.Store(false)
	if p.send() != nil {
		p.stop()
	}
}
