package quota

import (
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
)

// Guards against fractions that are used before the rest after the start has ended, and against accounts that get nothing
// for up to another 200 ms then.
func TestCommonStartFractionsAreUsableWhenTheRestEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, self := time.Now(), "127.0.0.1:1"
		d, err := New(Config{
			Self: self, Store: &memoryStore{}, Peers: onlySelf{}, PeerClients: peer.NewClient(peer.ClientConfig{}),
			Rand: rand.New(rand.NewSource(1)), Log: quietLog(), Clock: func() time.Duration { return time.Since(began) },
			Assignment: &AssignmentConfig{Live: onlySelf{}.Live, Version: func() uint64 { return 0 }},
		})
		if err != nil {
			t.Fatal(err)
		}
		w := d.fractions.(*watcher)
		go w.run(t.Context())
		w.observe(quota.Assignment{Holdings: []quota.Holding{{Address: self, Fractions: 0xff}}}, 1)
		d.ConfirmAssignment(0, 0)
		usable := func() quota.Mask {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.usable
		}
		time.Sleep(w.assignment.RestEnd() - 1)
		synctest.Wait()
		if usable() != 0 {
			t.Error("fractions are used while an earlier process may have lent them")
		}
		time.Sleep(2 * restEndMargin)
		synctest.Wait()
		if usable() != 0xff {
			t.Errorf("fractions %x are usable when the rest has ended, want ff", usable())
		}
	})
}
