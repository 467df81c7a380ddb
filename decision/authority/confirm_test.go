package authority_test

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// Guards against a driver that calls Advance without pause while a sample whose grace has passed
// still waits for the primary.
func TestDeadlineOfSampleEnds(t *testing.T) {
	c := authority.NewConfirmations([]authority.ServerID{"a", "b", "c"})
	c.CoverPrimary = true
	c.Add(authority.Waiter{ID: 1, Mode: authority.ModeSample})
	for i, id := range []authority.ServerID{"b", "c"} {
		state := authority.ServerState{Server: id, Role: authority.RoleReplica, Term: 1}
		c.Observe(0, authority.ProbeResult{Seq: authority.Seq(i + 1), State: state})
	}
	if at, ok := c.NextDeadline(0); !ok || at != c.SampleGrace {
		t.Errorf("deadline %v, %v, want the sample's grace", at, ok)
	}
	for _, now := range []time.Duration{c.SampleGrace, time.Minute} {
		if r := c.Advance(now); len(r) > 0 {
			t.Errorf("sample without the primary was resolved: %v", r)
		}
		if at, ok := c.NextDeadline(now); ok {
			t.Errorf("deadline %v at %v, want none", at, now)
		}
	}
}
