package quota

import (
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
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

// Guards against fractions that are given back, and used by the next holder at once, while they are lent: a request for them
// arrives after the open loans were looked up, and a loan is made before it takes effect.
func TestFractionsLentMeanwhileAreNotGivenBack(t *testing.T) {
	const self, asked = "127.0.0.1:1", quota.Mask(0x0f)
	var now time.Duration
	var version uint64
	during := func() {}
	store := &memoryStore{object: objectstore.Object{Version: 2}}
	d, err := New(Config{
		Self: self, Store: store, Peers: onlySelf{}, PeerClients: peer.NewClient(peer.ClientConfig{}),
		Rand: rand.New(rand.NewSource(1)), Log: quietLog(), Clock: func() time.Duration { return now },
		Assignment: &AssignmentConfig{
			Live:    func() []string { during(); return []string{self} },
			Version: func() uint64 { return version },
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	w := d.fractions.(*watcher)
	now = time.Minute
	w.observe(quota.Assignment{Holdings: []quota.Holding{{Address: self, Fractions: 0xff}}}, 1)
	d.ConfirmAssignment(now, 0)
	during = func() {
		if _, err := d.Lend(t.Context(), &peerpb.LoanRequest{Owner: "127.0.0.1:2", Epoch: 1, Shards: []*peerpb.ShardLoanRequest{{Shard: 0, Serial: 1}}}); err != nil {
			t.Error(err)
		}
		w.observe(quota.Assignment{Holdings: []quota.Holding{{Address: self, Fractions: 0xff, Returning: asked}}}, 2)
	}
	version++
	w.updateAssignment(t.Context())
	if d.lent()&asked != asked {
		t.Fatalf("fractions %x are lent, want those asked for among them", d.lent())
	}
	if store.object.Version == 2 {
		return // nothing was written
	}
	written, err := quota.DecodeAssignment(store.object.Value)
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range written.Holdings {
		if h.Address == self && h.Fractions&asked == asked {
			return
		}
	}
	t.Errorf("assignment %+v was written, although %x are lent", written.Holdings, d.lent())
}
