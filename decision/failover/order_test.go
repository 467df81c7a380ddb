package failover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenstile/cyclamenstile/decision/storeversion"
)

// claimant is an instance that orders promotions of one database.
type claimant struct {
	eras    storeversion.Tracker
	fence   uint64 // of its claim; 0: none
	claimed time.Duration
}

// Guards against two instances that order the same promotion, and against a fence that falls, because the store has lost the
// claim of the first one. Instances learn of a restore late and order late; restores follow each other.
func TestOnePromotionWhenStoreRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now time.Duration
		era, revision, claimRevision := rapid.Uint64Range(0, 2).Draw(t, "era"), uint64(10), uint64(0)
		claimants := make([]claimant, 3)
		for i := range claimants {
			claimants[i].eras.Learn(0, era)
		}
		now = time.Minute
		lastFence := uint64(0)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "gap")) * time.Millisecond
			i := rapid.IntRange(0, 2).Draw(t, "instance")
			c := &claimants[i]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0: // the store loses the last claim
				era++
				revision, claimRevision = 10, 0
			case 1: // claim
				c.eras.Learn(now, era)
				if claimRevision != 0 || !c.eras.SettledFor(now, ClaimTerm) {
					continue
				}
				revision++
				claimRevision = revision
				c.fence, _ = storeversion.New(era, revision)
				c.claimed = now
				for j, other := range claimants {
					if j != i && other.fence != 0 && now-other.claimed <= OrderTerm {
						t.Fatalf("instance %d claims %s after instance %d, which may still order", i, now-other.claimed, j)
					}
				}
			default: // order, possibly without knowing of a restore
				if c.fence == 0 || !MayOrder(now-c.claimed, c.fence, c.eras.Era()) {
					continue
				}
				if c.fence < lastFence {
					t.Fatalf("fence %d after %d", c.fence, lastFence)
				}
				lastFence = c.fence
			}
		}
	})
}

// Guards against an order that is sent although its claim is too old or from an earlier era.
func TestOldClaimsAreNotActedOnWhenStoreRestored(t *testing.T) {
	fence, _ := storeversion.New(3, 100)
	if !MayOrder(OrderTerm, fence, 3) || MayOrder(OrderTerm+1, fence, 3) || MayOrder(0, fence, 4) {
		t.Error("an order is allowed by an old claim, or not allowed by a recent one")
	}
}

// Guards against a promotion while an earlier order that got no answer may still promote another server, which lacks what is
// acknowledged by then.
func TestUnansweredOrderDelaysOtherServers(t *testing.T) {
	for name, c := range map[string]struct {
		order         Order
		primary, next string
		want          bool
	}{
		"none":                            {Order{}, "a", "c", false},
		"may be carried out":              {Order{Server: "b"}, "a", "c", true},
		"just before its end":             {Order{Server: "b", ClaimAge: MaxOrderAge - 1}, "a", "c", true},
		"can't be carried out any more":   {Order{Server: "b", ClaimAge: MaxOrderAge}, "a", "c", false},
		"is repeated":                     {Order{Server: "b"}, "a", "b", false},
		"was answered":                    {Order{Server: "b", Answered: true}, "a", "c", false},
		"its server leads":                {Order{Server: "b"}, "b", "c", false},
		"a repeated order's server leads": {Order{Server: "b", Repeated: true}, "b", "c", true},
		"no primary is known":             {Order{Server: "b"}, "", "c", true},
	} {
		if got := c.order.MayFollow(c.primary, c.next); got != c.want {
			t.Errorf("%s: may follow is %t, want %t", name, got, c.want)
		}
	}
}
