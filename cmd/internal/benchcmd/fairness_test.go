package benchcmd

import (
	"math"
	"testing"
)

// Guards against a report that accepts a changed p99 or an exceeded limit. One slow round of four
// changes the p99 over all rounds but not the median.
func TestFairnessLimits(t *testing.T) {
	atRate := loadFigures{P99: 100, RoundP99: []float64{100, 100, 80, 100}}
	overRate := loadFigures{P99: 300, RoundP99: []float64{105, 300, 84, 105}}
	d := deploymentFairness{Connections: 20, Slots: 3, Fair: compareLoads(atRate, overRate)}
	if math.Abs(d.Fair.MedianChange-0.05) > 1e-9 || d.Fair.P99Change != 2 || d.Fair.Spread != 0.25 {
		t.Errorf("%+v, want median change 0.05, p99 change 2, spread 0.25", d.Fair)
	}
	for _, c := range []struct {
		change float64
		usage  serverUsage
		want   [2]bool // p99 within the limit, limits respected
	}{
		{0.10, serverUsage{PeakOpening: 2, PeakOpen: 20, PeakStatements: 3}, [2]bool{true, true}},
		{0.11, serverUsage{PeakOpening: 3}, [2]bool{false, false}},
		{0, serverUsage{PeakOpen: 21}, [2]bool{true, false}},
		{0, serverUsage{PeakStatements: 4}, [2]bool{true, false}},
	} {
		d.Fair.MedianChange = c.change
		d.PrimaryChange.Servers = []serverUsage{c.usage}
		d.checkLimits()
		if got := [2]bool{d.P99WithinLimit, d.LimitsRespected}; got != c.want {
			t.Errorf("change %g, usage %+v: %v, want %v", c.change, c.usage, got, c.want)
		}
	}
}

// Guards against accepting options with which the command crashes or measures nothing.
func TestFairnessOptions(t *testing.T) {
	for _, args := range [][]string{{"--rounds", "0"}, {"--service-time", "0s"}, {"--factor", "0.5"}, {"--only", "nowhere"}} {
		cmd := newFairness()
		cmd.SetArgs(args)
		cmd.SilenceUsage, cmd.SilenceErrors = true, true
		if cmd.Execute() == nil {
			t.Errorf("%v is accepted, want an error", args)
		}
	}
}
