// Package relaytree decides whom an instance asks for changes of the platform's store: one instance of each region asks
// the store, and the others follow it, directly or, in a large region, through hubs.
//
// Load: four kinds of objects, a call a second for each from every follower. With 420 instances in a region the one that
// asks the store would answer 1,700 calls a second; with 21 hubs it answers 80, and a hub about as many.
package relaytree

import (
	"math"
	"slices"
)

// maxFollowers bounds the instances that follow one without hubs. So many calls a second, for each kind, cost an instance
// well under a percent of a core.
const maxFollowers = 32

// Hash keys of the choices. All instances have to use the same ones.
const (
	rootKey = "relay"
	hubKey  = "relay/hub/"
)

// Selector returns the n names that come first for a key, in an order that all instances share.
type Selector func(key string, names []string, n int) []string

// Parent is whom an instance follows.
type Parent struct {
	Address string // empty: the store itself
	// Hops is the number of instances between this one and the store.
	Hops int
}

// ChooseParent returns the parent of an instance. region has the addresses of the instances of its region that can be asked,
// itself included. Instances whose lists differ may follow each other in a circle; the age of what they are told shows it.
func ChooseParent(self string, region []string, first Selector) Parent {
	hubs := first(rootKey, region, hubCount(len(region)))
	top := first(rootKey, hubs, 1)[0]
	switch {
	case self == top:
		return Parent{}
	case len(hubs) == 1 || slices.Contains(hubs, self):
		return Parent{Address: top, Hops: 1}
	}
	others := slices.DeleteFunc(slices.Clone(hubs), func(hub string) bool { return hub == top })
	return Parent{Address: first(hubKey+self, others, 1)[0], Hops: 2}
}

// hubCount returns the number of instances that others follow, the one that asks the store included.
func hubCount(instances int) int {
	if instances <= maxFollowers+1 {
		return 1
	}
	return 1 + int(math.Ceil(math.Sqrt(float64(instances))))
}
