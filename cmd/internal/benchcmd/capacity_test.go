package benchcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"
)

// Guards against a wrong slope or standard error, on which the capacity estimate is based. The
// expected values are calculated by hand: the residuals are 1/6, -1/3 and 1/6, so the error is
// sqrt(1/6 / 1 / 2).
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

// Guards against a fit that is reported although its error can't be estimated.
func TestFitLineNeedsSamples(t *testing.T) {
	for _, samples := range [][]sample{nil, {{1, 1}, {2, 2}}, {{1, 1}, {1, 2}, {1, 3}}} {
		if _, err := fitLine(samples); err == nil {
			t.Errorf("fitLine accepts %v, want an error", samples)
		}
	}
}

// Guards against a measurement that fails, returns fewer values than it has quantities or never grows.
// The sizes are tiny, so memory and CPU time are only checked to be present.
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
					t.Errorf("incomplete report %+v", s)
				}
				if grows(s) && s.Slope <= 0 {
					t.Errorf("%s has slope %g through %v, want more than 0", s.Name, s.Slope, s.Samples)
				}
			}
		})
	}
}

// grows reports whether a quantity is counted rather than timed, so that it grows even at tiny sizes.
func grows(s slopeReport) bool {
	// The driver batches the demands of all accounts into one call, so its calls need not grow.
	if strings.HasSuffix(s.Name, "refused") || s.Name == "quota.driver.calls" {
		return false
	}
	counted := strings.HasSuffix(s.Unit, "s/s") && s.Unit != "µs/s"
	return counted || s.Unit == "B" && !strings.HasSuffix(s.Name, "memory")
}

// Guards against quota figures from a run that refused statements within the rate.
func TestQuotaSimAdmitsWithinTheRate(t *testing.T) {
	const accounts = 4
	s := newQuotaSim(accounts, 8, quotaFarDelay)
	if _, err := s.measure(accounts, quotaFastRate); err != nil {
		t.Fatal(err)
	}
	sent := int(accounts * quotaFastRate * quotaMeasureTime.Seconds())
	if s.refused != 0 || s.admitted < sent-accounts || s.loanCalls == 0 || s.grantCalls == 0 {
		t.Errorf("%d admitted and %d refused of %d, %d loans, %d grants; want almost all admitted, none refused, some loans and grants", s.admitted, s.refused, sent, s.loanCalls, s.grantCalls)
	}
}

// Guards against --only dropping a quantity of a measurement, and against a JSON report that can't be
// decoded.
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
		t.Fatalf("report %+v, want 3 slopes, the first above 0", r)
	}
	for i, slope := range r.Slopes {
		if slope.Name != names[i] || len(slope.Samples) != capacityRepeats*3 {
			t.Errorf("quantity %s has %d samples, want each quantity with 3 per size", slope.Name, len(slope.Samples))
		}
	}
}
