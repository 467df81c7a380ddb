package benchcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"
)

// Guards against a slope or an error that the page would carry over wrongly. The expected values
// are worked out by hand: residuals 1/6, -1/3, 1/6, so the error is sqrt(1/6 / 1 / 2).
func TestFitLine(t *testing.T) {
	l, err := fitLine([]sample{{1, 5}, {2, 7}, {3, 10}})
	if err != nil {
		t.Fatal(err)
	}
	want := line{Slope: 2.5, SlopeError: math.Sqrt(1.0 / 12), Intercept: 7.0 / 3}
	for _, c := range []struct {
		name      string
		got, want float64
	}{
		{"slope", l.Slope, want.Slope},
		{"error", l.SlopeError, want.SlopeError},
		{"intercept", l.Intercept, want.Intercept},
	} {
		if math.Abs(c.got-c.want) > 1e-9 {
			t.Errorf("%s %g, want %g", c.name, c.got, c.want)
		}
	}
}

// Guards against a line without an error estimate being shown as measured.
func TestFitLineNeedsSamples(t *testing.T) {
	for _, samples := range [][]sample{nil, {{1, 1}, {2, 2}}, {{1, 1}, {1, 2}, {1, 3}}} {
		if _, err := fitLine(samples); err == nil {
			t.Errorf("line through %v", samples)
		}
	}
}

// Guards against a measurement that fails, yields fewer values than it names or never grows. The
// sizes are tiny, so memory and processor time are only checked for being there.
func TestMeasurements(t *testing.T) {
	for _, m := range measurements() {
		t.Run(m.quantities[0].Name, func(t *testing.T) {
			m.sizes = []int{2, 4, 8}
			slopes, err := m.run(context.Background(), 1)
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range slopes {
				if len(s.Samples) != len(m.sizes) || s.Package == "" || s.Unit == "" || s.Per == "" {
					t.Errorf("incomplete %+v", s)
				}
				if grows(s) && s.Slope <= 0 {
					t.Errorf("%s has slope %g through %v", s.Name, s.Slope, s.Samples)
				}
			}
		})
	}
}

// grows reports whether a quantity is counted, not measured, so that tiny sizes show its growth.
func grows(s slopeReport) bool {
	// The driver joins the demands of all accounts in one call, so its calls need not grow.
	if strings.HasSuffix(s.Name, "refused") || s.Name == "quota.driver.calls" {
		return false
	}
	counted := strings.HasSuffix(s.Unit, "s/s") && s.Unit != "µs/s"
	return counted || s.Unit == "B" && !strings.HasSuffix(s.Name, "memory")
}

// Guards against quota figures of a run in which statements were refused inside the rate.
func TestQuotaSimAdmitsWithinTheRate(t *testing.T) {
	const accounts = 4
	s := newQuotaSim(accounts, 8, quotaFarDelay)
	if _, err := s.measure(accounts, quotaFastRate); err != nil {
		t.Fatal(err)
	}
	sent := int(accounts * quotaFastRate * quotaMeasureTime.Seconds())
	if s.refused != 0 || s.admitted < sent-accounts || s.loanCalls == 0 || s.grantCalls == 0 {
		t.Errorf("%d admitted and %d refused of %d, %d loans, %d grants", s.admitted, s.refused, sent, s.loanCalls, s.grantCalls)
	}
}

// Guards against a chosen part of the report that leaves a quantity out, and against JSON that
// programs can't read.
func TestCapacityCommand(t *testing.T) {
	cmd := New()
	cmd.PersistentFlags().Bool("json", false, "")
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetArgs([]string{"capacity", "--json", "--only", "config.delta"})
	if err := cmd.Execute(); err != nil {
		t.Fatal(err)
	}
	var r capacityReport
	if err := json.Unmarshal(out.Bytes(), &r); err != nil {
		t.Fatal(err)
	}
	names := []string{"config.delta.bytes", "config.delta.make.cpu", "config.delta.apply.cpu"}
	if len(r.Slopes) != len(names) || r.Slopes[0].Slope <= 0 {
		t.Fatalf("report %+v", r)
	}
	for i, slope := range r.Slopes {
		if slope.Name != names[i] || len(slope.Samples) != capacityRepeats*3 {
			t.Errorf("%s with %d samples", slope.Name, len(slope.Samples))
		}
	}
}
