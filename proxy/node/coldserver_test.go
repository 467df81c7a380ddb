package node

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/home"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/proxy/gateway"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
)

// Guards against a cold successor beside a warm one that has received as much, and against a warm one that lacks writes or
// is not at home.
func TestColdServerIsNoSuccessorAmongEquals(t *testing.T) {
	at := func(id string, lsn uint64, cold bool) candidate {
		return candidate{server: discovery.Server{ID: id, Region: "region-" + id}, status: placement.Status{Received: position.Position{Term: 1, LSN: lsn}}, cold: cold}
	}
	for _, c := range []struct {
		homes      home.Regions
		candidates []candidate
		want       string
	}{
		{home.Regions{}, []candidate{at("a", 5, true), at("b", 5, false)}, "b"},
		{home.Regions{}, []candidate{at("a", 6, true), at("b", 5, false)}, "a"},
		{home.Regions{}, []candidate{at("a", 5, true), at("b", 5, true)}, "a"},
		{home.NewRegions([]string{"region-a"}), []candidate{at("a", 5, true), at("b", 5, false)}, "a"},
		{home.NewRegions([]string{"region-a", "region-b"}), []candidate{at("a", 5, true), at("b", 5, false)}, "b"},
		{home.NewRegions([]string{"region-a"}), []candidate{at("a", 5, false), at("b", 6, true)}, "b"},
	} {
		if best := slices.MaxFunc(c.candidates, func(a, b candidate) int { return compareCandidates(c.homes, a, b) }); best.server.ID != c.want {
			t.Errorf("successor %s among %+v with homes %v, want %s", best.server.ID, c.candidates, c.homes.Names(), c.want)
		}
	}
}

// Guards against two instances with the same place among the lenders of a cold server, whose parts of the limit would exceed it
// together. The scheduler's weights take part in the choice, and those of some instances may be unknown.
func TestColdServerLendersHaveDifferentRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grouped := newInstancesByLocality()
		count := rapid.IntRange(1, 20).Draw(t, "instances")
		for i := range count {
			domain := rapid.SampledFrom([]string{"r-a", "r-b", "q-a"}).Draw(t, "domain")
			share := rapid.SampledFrom([]float64{0, 0.192, 0.4, 0.8}).Draw(t, "share")
			grouped.add(fmt.Sprint("127.0.0.1:", i+1), Locality{Region: domain[:1], FailureDomain: domain}, share)
		}
		request := gateway.LendRequest{Server: discovery.Server{ID: "s", Region: "r", FailureDomain: "r-a", Slots: 4}, Exclusive: true}
		taken := map[int]string{}
		for _, self := range grouped.all {
			l := &lenderSelector{peers: &peer.Set{}, self: self}
			l.usable.Get(0, func() *instancesByLocality { return grouped })
			var before []string
			failed := func(address string) bool { return slices.Contains(before, address) }
			for chosen := l.choose(request, failed); chosen != ""; chosen = l.choose(request, failed) {
				before = append(before, chosen)
			}
			if other := taken[len(before)]; other != "" {
				t.Fatalf("%s and %s both have rank %d", self, other, len(before))
			}
			taken[len(before)] = self
		}
	})
}
