package relaytree

import (
	"cmp"
	"slices"
)

func haveEqualLinks(region []Instance) bool {
	return !slices.ContainsFunc(region, func(i Instance) bool { return i.LinkMbps != region[0].LinkMbps })
}

func addresses(region []Instance) []string {
	out := make([]string, 0, len(region))
	for _, i := range region {
		out = append(out, i.Address)
	}
	return out
}

// chooseByLink builds a tree whose relays have the widest links. Each has as many followers as its link permits, at most
// maxFollowers.
func chooseByLink(self string, region []Instance, selectNames Selector) Parent {
	ordered := orderByLink(region, selectNames)
	root, others := ordered[0], ordered[1:]
	if self == root.Address {
		return Parent{}
	}
	hubs := others[:hubsNeeded(root, others)]
	if len(hubs) == 0 || slices.Contains(addresses(hubs), self) {
		return Parent{Address: root.Address, Hops: 1}
	}
	return Parent{Address: assignHub(self, hubs, others[len(hubs):], selectNames), Hops: 2}
}

// orderByLink returns the instances with the widest links first, and those with equal links in the order of the hash.
func orderByLink(region []Instance, selectNames Selector) []Instance {
	rank := rankAll(addresses(region), selectNames)
	return slices.SortedFunc(slices.Values(region), func(a, b Instance) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(rank[a.Address], rank[b.Address]))
	})
}

// rankAll returns the ranks of all names as roots.
func rankAll(names []string, selectNames Selector) map[string]int {
	rank := make(map[string]int, len(names))
	for i, name := range selectNames(rootKey, names, len(names)) {
		rank[name] = i
	}
	return rank
}

// followerLimit returns how many followers an instance may have.
func followerLimit(i Instance) int {
	return int(min(max(i.LinkMbps/mbpsPerFollower, 1), maxFollowers))
}

// hubsNeeded returns how many of the other instances, widest links first, are hubs: the fewest that all others can follow.
func hubsNeeded(root Instance, others []Instance) int {
	limit := followerLimit(root)
	if len(others) <= limit {
		return 0
	}
	places := 0
	for hubs := 1; hubs < limit; hubs++ {
		places += followerLimit(others[hubs-1])
		if places >= len(others)-hubs {
			return hubs
		}
	}
	return limit
}

// assignHub returns the hub that an instance follows. The hubs choose in turn, by hash, from the followers that are left, each
// in proportion to its limit. No hub exceeds its limit unless there are too few places for all.
func assignHub(self string, hubs, followers []Instance, selectNames Selector) string {
	limits := 0
	for _, hub := range hubs {
		limits += followerLimit(hub)
	}
	left := addresses(followers)
	for _, hub := range hubs {
		share := (followerLimit(hub)*len(followers) + limits - 1) / limits
		chosen := map[string]bool{}
		for _, name := range selectNames(hubKey+hub.Address, left, share) {
			chosen[name] = true
		}
		if chosen[self] {
			return hub.Address
		}
		left = slices.DeleteFunc(left, func(name string) bool { return chosen[name] })
	}
	return hubs[0].Address // not reached: the shares suffice for all followers
}
