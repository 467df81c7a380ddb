package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/platformlocal"
)

const (
	// Accounts: one with constant access, one whose key is withdrawn and restored, and one that exceeds its rate.
	steadyAccount, withdrawnAccount, greedyAccount = "steady", "withdrawn", "greedy"

	greedyRate, greedyBurst = 40, 40
	otherRate               = 100000

	// Servers are small so that callers reach their limits.
	serverSlots       = 4
	serverConnections = 24
	serverServiceTime = 2 * time.Millisecond
)

var keys = map[string]string{steadyAccount: "key-steady", withdrawnAccount: "key-withdrawn", greedyAccount: "key-greedy"}

var accounts = []platformlocal.Account{
	{Name: steadyAccount, Key: keys[steadyAccount], Rate: otherRate, Burst: otherRate},
	{Name: greedyAccount, Key: keys[greedyAccount], Rate: greedyRate, Burst: greedyBurst},
	{Name: withdrawnAccount, Key: keys[withdrawnAccount], Rate: otherRate, Burst: otherRate},
}

// interval is a time span in which a key was withdrawn.
type interval struct{ from, to time.Time }

// withdrawals records when the key of withdrawnAccount was not valid.
type withdrawals struct {
	mu    sync.Mutex
	since time.Time // zero while the key is valid
	ended []interval
}

// record records a configuration with or without the key. The caller holds w.mu.
func (w *withdrawals) record(now time.Time, valid bool) {
	switch {
	case valid && !w.since.IsZero():
		w.ended = append(w.ended, interval{w.since, now})
		w.since = time.Time{}
	case !valid && w.since.IsZero():
		w.since = now
	}
}

// intervals returns the time spans in which the key was withdrawn. One that has not ended gets an end in the future.
func (w *withdrawals) intervals() []interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := slices.Clone(w.ended)
	if !w.since.IsZero() {
		out = append(out, interval{w.since, time.Now().Add(time.Hour)})
	}
	return out
}

// configure writes the next configuration, with or without the key of withdrawnAccount.
func (r *run) configure(keyValid bool) error {
	r.withdrawals.mu.Lock()
	defer r.withdrawals.mu.Unlock()
	r.withdrawals.record(time.Now(), keyValid)
	if keyValid {
		return r.deployment.Configure()
	}
	return r.deployment.Configure(withdrawnAccount)
}
