package store

import (
	"sync"
	"time"
)

// Calls counts requests by kind. A waiting watch counts as one; a request during an outage counts too.
type Calls struct {
	Get, Put, Delete, List, Watch uint64
}

// faults holds the injected faults and the call counts.
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

// requestFault holds the faults that apply to one request.
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

// dropNextPutResponse reports whether to drop the response of the put that has just taken effect. If so,
// it uses up one of the responses to drop.
func (f *faults) dropNextPutResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.putResponsesToDrop == 0 {
		return false
	}
	f.putResponsesToDrop--
	return true
}

// staleContent returns the old content, and true if this read is to be served from it.
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

// SetUnavailable makes every request, including waiting watches, fail with status 503.
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

// DropPutResponses makes the next n puts take effect and closes their connections without a response.
func (h *Handler) DropPutResponses(n int) {
	h.faults.mu.Lock()
	defer h.faults.mu.Unlock()
	h.faults.putResponsesToDrop = n
}

// SetStaleReads copies the current content and serves every n-th get, list or watch from the copy.
// With n = 0 all reads are current again.
func (h *Handler) SetStaleReads(n int) {
	var copied snapshot
	h.memory.read(func(s snapshot) { copied = s.clone() })
	h.faults.mu.Lock()
	defer h.faults.mu.Unlock()
	h.faults.oldContent = copied
	h.faults.staleEvery = n
	h.faults.reads = 0
}

// Calls returns the request counts since the start.
func (h *Handler) Calls() Calls {
	h.faults.mu.Lock()
	defer h.faults.mu.Unlock()
	return h.faults.calls
}
