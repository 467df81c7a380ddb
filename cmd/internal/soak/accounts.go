package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/platformlocal"
)

const (
	// Accounts: one that works steadily, one whose key comes and goes, and one that sends more than its rate.
	steadyAccount, withdrawnAccount, greedyAccount = "steady", "withdrawn", "greedy"

	greedyRate, greedyBurst = 40, 40
	otherRate               = 100000

	// Servers are small, so that callers meet their limits.
	serverSlots       = 4
	serverConnections = 24
	serverWork        = 2 * time.Millisecond
)

var keys = map[string]string{steadyAccount: "key-steady", withdrawnAccount: "key-withdrawn", greedyAccount: "key-greedy"}

var accounts = []platformlocal.Account{
	{Name: steadyAccount, Key: keys[steadyAccount], Rate: otherRate, Burst: otherRate},
	{Name: greedyAccount, Key: keys[greedyAccount], Rate: greedyRate, Burst: greedyBurst},
	{Name: withdrawnAccount, Key: keys[withdrawnAccount], Rate: otherRate, Burst: otherRate},
}

// interval is a time in which a key was withdrawn; an open one has no end.
type interval struct{ from, to time.Time }

// withdrawals holds the times in which the key that comes and goes was not valid.
type withdrawals struct {
	mu    sync.Mutex
	since time.Time // zero while the key is valid
	ended []interval
}

// record takes the time of a configuration with or without the key.
func (w *withdrawals) record(now time.Time, valid bool) {
	switch {
	case valid && !w.since.IsZero():
		w.ended = append(w.ended, interval{w.since, now})
		w.since = time.Time{}
	case !valid && w.since.IsZero():
		w.since = now
	}
}

// intervals returns the times in which the key was withdrawn.
func (w *withdrawals) intervals() []interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := slices.Clone(w.ended)
	if !w.since.IsZero() {
		out = append(out, interval{w.since, time.Now().Add(time.Hour)})
	}
	return out
}

// configure writes the next configuration, with or without the key that comes and goes.
func (r *run) configure(keyValid bool) error {
	r.withdrawals.mu.Lock()
	defer r.withdrawals.mu.Unlock()
	r.withdrawals.record(time.Now(), keyValid)
	if keyValid {
		return r.deployment.Configure()
	}
	return r.deployment.Configure(withdrawnAccount)
}
