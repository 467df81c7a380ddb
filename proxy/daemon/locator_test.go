package daemon

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// Guards against a home outside its server's region, which adds the latency between regions to every
// statement, and against a server without a home when its region has no instance.
func TestHomeIsInTheServersRegion(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
	cases := []struct {
		live, want []string
		region     string
	}{
		{live: []string{"a1", "a2", "b1", "b2"}, region: "a", want: []string{"a1", "a2"}},
		{live: []string{"a1", "a2", "b1", "b2"}, region: "b", want: []string{"b1", "b2"}},
		{live: []string{"a1", "b1", "b2"}, region: "a", want: []string{"a1"}},
		{live: []string{"b1", "b2"}, region: "a", want: []string{"b1", "b2"}},
		{live: []string{"a1", "b1"}, region: "unlisted", want: []string{"a1", "b1"}},
	}
	for _, c := range cases {
		used := map[string]bool{}
		for i := range 50 {
			home := newCandidates(c.live, regions).home(authority.ServerID(fmt.Sprint("s", i)), c.region)
			if !slices.Contains(c.want, home) {
				t.Errorf("live %v, server in region %s: home %s, want one of %v", c.live, c.region, home, c.want)
			}
			used[home] = true
		}
		if len(used) != len(c.want) {
			t.Errorf("live %v, region %s: homes %v, want all of %v", c.live, c.region, used, c.want)
		}
	}
}

// BenchmarkHome measures Home with many instances, whose cost must not grow with their number.
func BenchmarkHome(b *testing.B) {
	live := make([]string, 2100)
	for i := range live {
		live[i] = fmt.Sprintf("10.0.%d.%d:6433", i/256, i%256)
	}
	c := newCandidates(live, nil)
	for i := 0; b.Loop(); i++ {
		c.home(servers[i%len(servers)], "region")
	}
}

var servers = func() (ids []authority.ServerID) {
	for i := range 100 {
		ids = append(ids, authority.ServerID(fmt.Sprint("s", i)))
	}
	return ids
}()
