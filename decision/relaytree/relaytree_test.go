package relaytree

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
)

// selectByHash orders names by a hash of key and name.
func selectByHash(key string, names []string, n int) []string {
	score := func(name string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(key + "\x00" + name))
		return h.Sum64()
	}
	ordered := slices.SortedFunc(slices.Values(names), func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	return ordered[:min(n, len(ordered))]
}

func regionAddresses(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("10.0.%d.%d:7560", i/200, i%200))
	}
	return out
}

// Guards against instances that don't reach the store through their parents, and against one that too many follow.
func TestEveryInstanceReachesTheStore(t *testing.T) {
	for _, n := range []int{1, 2, 26, 33, 34, 100, 420} {
		names := regionAddresses(n)
		followers := map[string]int{}
		tops := 0
		for _, name := range names {
			p := ChooseParent(name, names, selectByHash)
			if p.Address == "" {
				tops++
				continue
			}
			followers[p.Address]++
			hops := 1
			for at := p; ; hops++ {
				if at = ChooseParent(at.Address, names, selectByHash); at.Address == "" {
					break
				}
			}
			if hops != p.Hops || hops > 2 {
				t.Errorf("%d instances: %s is %d hops from the store, and takes itself for %d", n, name, hops, p.Hops)
			}
		}
		if tops != 1 {
			t.Errorf("%d instances: %d ask the store", n, tops)
		}
		for name, count := range followers {
			// Hubs are chosen by hash, so that some have up to twice the mean of about 21.
			if count > 2*maxFollowers {
				t.Errorf("%d instances: %d follow %s", n, count, name)
			}
		}
	}
}

// Guards against a lost hub that makes followers of other hubs move.
func TestLostHubMovesItsFollowersOnly(t *testing.T) {
	names := regionAddresses(420)
	hubs := selectByHash(rootKey, names, hubCount(len(names)))
	lost := hubs[len(hubs)/2]
	left := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == lost })
	moved := 0
	for _, name := range left {
		before, after := ChooseParent(name, names, selectByHash), ChooseParent(name, left, selectByHash)
		if before != after && before.Address != lost {
			moved++
		}
	}
	// Another instance becomes a hub in its place and takes some followers from each of the others.
	if most := 2 * len(names) / len(hubs); moved > most {
		t.Errorf("%d instances moved that had not followed the lost hub, at most %d should", moved, most)
	}
}
