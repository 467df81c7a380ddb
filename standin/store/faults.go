package store

import (
	"sync"
	"time"
)

// Calls counts requests by kind. A waiting watch counts as one; a request during an outage counts too.
type Calls struct {
	Get, Put, Delete, List, Watch uint64
}

// faults is what goes wrong at present.
type faults struct {
	mu          sync.Mutex
	calls       Calls
	unavailable bool
	delay       time.Duration
	losePuts    int
	staleEvery  int
	reads       int
	stale       snapshot
}

// fate is what happens to one request.
type fate struct {
	unavailable bool
	delay       time.Duration
}

func (f *faults) begin(count func(*Calls)) fate {
	f.mu.Lock()
	defer f.mu.Unlock()
	count(&f.calls)
	return fate{unavailable: f.unavailable, delay: f.delay}
}

// takeLostAnswer reports whether the answer of the put that just took effect is lost.
func (f *faults) takeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.losePuts == 0 {
		return false
	}
	f.losePuts--
	return true
}

// takeStale returns the old content if this read is to be answered from it.
func (f *faults) takeStale() (snapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.staleEvery == 0 {
		return snapshot{}, false
	}
	f.reads++
	return f.stale, f.reads%f.staleEvery == 0
}

func (f *faults) isUnavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unavailable
}

// SetUnavailable makes every request, including waiting watches, answer with status 503.
func (h *Handler) SetUnavailable(on bool) {
	h.faults.mu.Lock()
	h.faults.unavailable = on
	h.faults.mu.Unlock()
	h.memory.wake()
}

// SetDelay makes every request wait for d before it takes effect.
func (h *Handler) SetDelay(d time.Duration) {
	h.faults.mu.Lock()
	defer h.faults.mu.Unlock()
	h.faults.delay = d
}

// LoseAnswers closes the connections of the next n puts after they took effect.
func (h *Handler) LoseAnswers(n int) {
	h.faults.mu.Lock()
	defer h.faults.mu.Unlock()
	h.faults.losePuts = n
}

// SetStaleReads keeps a copy of the present content and answers every n-th get, list or watch
// from it. With n = 0 all reads are current again.
func (h *Handler) SetStaleReads(n int) {
	var copied snapshot
	h.memory.read(func(s snapshot) { copied = s.clone() })
	h.faults.mu.Lock()
	defer h.faults.mu.Unlock()
	h.faults.stale = copied
	h.faults.staleEvery = n
	h.faults.reads = 0
}

// Calls returns the counts so far.
func (h *Handler) Calls() Calls {
	h.faults.mu.Lock()
	defer h.faults.mu.Unlock()
	return h.faults.calls
}
