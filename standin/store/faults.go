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
	mu                 sync.Mutex
	calls              Calls
	unavailable        bool
	delay              time.Duration
	putResponsesToDrop int
	staleEvery         int
	reads              int
	oldContent         snapshot
}

// requestFault is what happens to one request.
type requestFault struct {
	unavailable bool
	delay       time.Duration
}

func (f *faults) beginRequest(count func(*Calls)) requestFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	count(&f.calls)
	return requestFault{unavailable: f.unavailable, delay: f.delay}
}

// dropNextPutResponse reports whether the answer of the put that just took effect is lost.
func (f *faults) dropNextPutResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.putResponsesToDrop == 0 {
		return false
	}
	f.putResponsesToDrop--
	return true
}

// staleContent returns the old content if this read is to be answered from it.
func (f *faults) staleContent() (snapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.staleEvery == 0 {
		return snapshot{}, false
	}
	f.reads++
	return f.oldContent, f.reads%f.staleEvery == 0
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
	h.memory.wakeWatches()
}

// SetRequestDelay makes every request wait for d before it takes effect.
func (h *Handler) SetRequestDelay(d time.Duration) {
	h.faults.mu.Lock()
	defer h.faults.mu.Unlock()
	h.faults.delay = d
}

// DropPutResponses closes the connections of the next n puts after they took effect.
func (h *Handler) DropPutResponses(n int) {
	h.faults.mu.Lock()
	defer h.faults.mu.Unlock()
	h.faults.putResponsesToDrop = n
}

// SetStaleReads keeps a copy of the present content and answers every n-th get, list or watch
// from it. With n = 0 all reads are current again.
func (h *Handler) SetStaleReads(n int) {
	var copied snapshot
	h.memory.read(func(s snapshot) { copied = s.clone() })
	h.faults.mu.Lock()
	defer h.faults.mu.Unlock()
	h.faults.oldContent = copied
	h.faults.staleEvery = n
	h.faults.reads = 0
}

// Calls returns the counts so far.
func (h *Handler) Calls() Calls {
	h.faults.mu.Lock()
	defer h.faults.mu.Unlock()
	return h.faults.calls
}
