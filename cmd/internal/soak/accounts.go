package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/platformlocal"
)

const (
	// Accounts: one that works steadily, one whose key comes and goes, and one that sends more than its rate.
	steady, withdrawn, greedy = "steady", "withdrawn", "greedy"

	greedyRate, greedyBurst = 40, 40
	otherRate               = 100000

	// Servers are small, so that callers meet their limits.
	serverSlots       = 4
	serverConnections = 24
	serverWork        = 2 * time.Millisecond
)

var keys = map[string]string{steady: "key-steady", withdrawn: "key-withdrawn", greedy: "key-greedy"}

var accounts = []platformlocal.Account{
	{Name: steady, Key: keys[steady], Rate: otherRate, Burst: otherRate},
	{Name: greedy, Key: keys[greedy], Rate: greedyRate, Burst: greedyBurst},
	{Name: withdrawn, Key: keys[withdrawn], Rate: otherRate, Burst: otherRate},
}

// span is a time in which a key was withdrawn; an open one has no end.
type span struct{ from, to time.Time }

// withdrawals holds the times in which the key that comes and goes was not valid.
type withdrawals struct {
	mu     sync.Mutex
	since  time.Time // zero while the key is valid
	closed []span
}

// note takes the time of a configuration with or without the key.
func (w *withdrawals) note(now time.Time, valid bool) {
	switch {
	case valid && !w.since.IsZero():
		w.closed = append(w.closed, span{w.since, now})
		w.since = time.Time{}
	case !valid && w.since.IsZero():
		w.since = now
	}
}

// spans returns the times in which the key was withdrawn.
func (w *withdrawals) spans() []span {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := slices.Clone(w.closed)
	if !w.since.IsZero() {
		out = append(out, span{w.since, time.Now().Add(time.Hour)})
	}
	return out
}

// configure writes the next configuration, with or without the key that comes and goes.
func (r *run) configure(keyValid bool) error {
	r.keys.mu.Lock()
	defer r.keys.mu.Unlock()
	r.keys.note(time.Now(), keyValid)
	if keyValid {
		return r.deployed.Configure()
	}
	return r.deployed.Configure(withdrawn)
}
