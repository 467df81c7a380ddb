// Package relaytree builds the tree through which instances receive changes of the platform's store. In each region, one
// instance polls the store, and the others follow it, either directly or, in a large region, through hubs.
//
// Load: four kinds of objects, one call per second for each from every follower. With 420 instances in a region, the one
// that polls the store would answer 1,700 calls a second; with 21 hubs it answers 80, and each hub about as many.
package relaytree

import (
	"math"
	"slices"
)

// maxFollowers is the largest number of followers of the root of a region without hubs. Answering one call per second and
// object kind from each of them costs an instance well under a percent of a core.
const maxFollowers = 32

// Keys of the selections. All instances must use the same ones.
const (
	rootKey = "relay"
	hubKey  = "relay/hub/"
)

// mbpsPerFollower is the part of its link, in Mbit/s, that a relay needs for each follower. A configuration of 60 KB then
// reaches all followers of a relay within half a second, uncompressed.
const mbpsPerFollower = 1

// Selector returns the first n names in an order that depends on the key alone, or all of them in this order if there are at
// most n. All instances get the same result, whatever the order of names. It does not modify names or keep the result.
type Selector func(key string, names []string, n int) []string

// Instance is an instance of the region.
type Instance struct {
	Address  string
	LinkMbps float64 // 0 if it is unknown
}

// Parent is the instance, or the store, that an instance follows.
type Parent struct {
	Address string // empty for the store itself
	// Hops is the number of instances between this one and the store.
	Hops int
}

// ChooseParent returns the parent of an instance. region holds the reachable instances of its region, itself included.
// Where the widths of their links differ, those with the widest links are the relays. Instances whose lists differ may
// follow each other in a cycle; the age of the data they receive reveals it.
func ChooseParent(self string, region []Instance, selectNames Selector) Parent {
	if haveEqualLinks(region) {
		return chooseByHash(self, addresses(region), selectNames)
	}
	return chooseByLink(self, region, selectNames)
}

func chooseByHash(self string, region []string, selectNames Selector) Parent {
	hubs := selectNames(rootKey, region, hubCount(len(region)))
	root := selectNames(rootKey, hubs, 1)[0]
	switch {
	case self == root:
		return Parent{}
	case len(hubs) == 1 || slices.Contains(hubs, self):
		return Parent{Address: root, Hops: 1}
	}
	others := slices.DeleteFunc(slices.Clone(hubs), func(hub string) bool { return hub == root })
	return Parent{Address: selectNames(hubKey+self, others, 1)[0], Hops: 2}
}

// hubCount returns the number of instances that have followers, the one that polls the store included.
func hubCount(instances int) int {
	if instances <= maxFollowers+1 {
		return 1
	}
	return 1 + int(math.Ceil(math.Sqrt(float64(instances))))
}
