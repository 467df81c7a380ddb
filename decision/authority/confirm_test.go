package authority_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// Guards against a driver that calls Advance in a busy loop while a sample whose grace period has
// passed still waits for the primary.
func TestNoDeadlineAfterSampleGrace(t *testing.T) {
	c := authority.NewConfirmations([]authority.ServerID{"a", "b", "c"})
	c.CoverPrimary = true
	c.Add(authority.Waiter{ID: 1, Mode: authority.ModeSample})
	for i, id := range []authority.ServerID{"b", "c"} {
		state := authority.ServerState{Server: id, Role: authority.RoleReplica, Term: 1}
		c.Observe(0, authority.ProbeResult{Seq: authority.Seq(i + 1), State: state})
	}
	if at, ok := c.NextDeadline(0); !ok || at != c.SampleGrace {
		t.Errorf("deadline %v, %v, want the end of the sample's grace period", at, ok)
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

// Guards against a sample that waits for an answer that can't lower its floor, and against one that
// doesn't wait for a lagging replica, whose answer gives a floor that more replicas reach.
func TestSampleWaitsForLowerAnswersOnly(t *testing.T) {
	primary := authority.ServerState{Server: "a", Role: authority.RolePrimary, Term: 1, LSN: 9}
	ahead := authority.ServerState{Server: "b", Role: authority.RoleReplica, Term: 1, LSN: 9}
	behind := authority.ServerState{Server: "c", Role: authority.RoleReplica, Term: 1, LSN: 5}
	for name, c := range map[string]struct {
		known, answers []authority.ServerState
		resolved       bool
	}{
		"replica behind":  {[]authority.ServerState{behind}, []authority.ServerState{primary, ahead}, false},
		"replica unknown": {nil, []authority.ServerState{primary, ahead}, false},
		"replica ahead":   {[]authority.ServerState{ahead}, []authority.ServerState{primary, behind}, true},
		"primary":         {[]authority.ServerState{primary}, []authority.ServerState{ahead, behind}, true},
		"one answer":      {[]authority.ServerState{primary, ahead}, []authority.ServerState{behind}, false},
	} {
		confirm := authority.NewConfirmations([]authority.ServerID{"a", "b", "c"})
		for _, s := range c.known {
			confirm.Observe(0, authority.ProbeResult{Seq: 1, State: s})
		}
		confirm.Add(authority.Waiter{ID: 1, Mode: authority.ModeSample, After: 1})
		var resolved []authority.Resolution
		for _, s := range c.answers {
			resolved = append(resolved, confirm.Observe(0, authority.ProbeResult{Seq: 2, State: s})...)
		}
		if (len(resolved) == 1) != c.resolved {
			t.Errorf("answer missing from %s: %v, want resolved %v", name, resolved, c.resolved)
		}
	}
}

// Guards against samples that load the primary while the replicas answer, and against samples that
// wait for an unresponsive or failing replica instead of probing the primary.
func TestSamplesSkipPrimary(t *testing.T) {
	const slow = authority.DefaultDemandInterval
	for name, c := range map[string]struct {
		demand authority.Demand
		after  time.Duration
		fails  bool
		want   []authority.ServerID
	}{
		"sample":               {authority.DemandSample, 0, false, []authority.ServerID{"b", "c"}},
		"sample, replica slow": {authority.DemandSample, slow, false, []authority.ServerID{"b", "c", "a"}},
		"sample, replica down": {authority.DemandSample, 0, true, []authority.ServerID{"a", "b"}}, // c is probed already
		"all":                  {authority.DemandAll, 0, false, []authority.ServerID{"a", "b", "c"}},
	} {
		m := authority.NewMachine(0, authority.Config{Servers: []authority.ServerID{"a", "b", "c"}, Owner: "x"})
		m.Step(0, authority.Tick{})
		for i, id := range []authority.ServerID{"a", "b", "c"} {
			state := authority.ServerState{Server: id, Role: authority.RoleReplica, Term: 1}
			if id == "a" {
				state.Role = authority.RolePrimary
			}
			m.Step(0, authority.ProbeResult{Seq: authority.Seq(i + 1), State: state})
		}
		if c.fails {
			m.Step(0, authority.ProbeFailure{Server: "c", Seq: 4})
		}
		m.RequestProbes()
		m.SetDemand(c.demand)
		var probed []authority.ServerID
		for _, now := range []time.Duration{0, c.after} {
			for _, a := range m.Step(now, authority.Tick{}) {
				probed = append(probed, a.(authority.Probe).Server)
			}
		}
		if !slices.Equal(probed, c.want) {
			t.Errorf("%s: probed %v, want %v", name, probed, c.want)
		}
	}
}
