package openload

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
)

// Guards against a chart that is not valid XML, or that has invalid coordinates if no operation was served.
func TestDraw(t *testing.T) {
	for name, r := range map[string]*Result{
		"empty": {Sheet: "a<b"},
		"run": {Sheet: "prairie", Seconds: 2, Series: []Second{
			{Counts: Counts{Due: 5, InTime: 3, Refused: 2}, Latency: Latency{P50: 3, P99: 900}, WriteGap: 1000}, {},
		}},
	} {
		var out strings.Builder
		if err := Draw(&out, r, []EventMark{{Second: 1, Name: "crash-primary"}}); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(out.String(), "NaN") || strings.Contains(out.String(), "Inf") {
			t.Errorf("%s: chart has a NaN or infinite coordinate", name)
		}
		decoder := xml.NewDecoder(strings.NewReader(out.String()))
		for {
			_, err := decoder.Token()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
	}
}

// Guards against an axis whose end is below the highest value.
func TestRoundUp(t *testing.T) {
	for v, want := range map[float64]float64{0: 1, 1: 1, 3: 4, 8.1: 10, 250: 400, 1000: 1000} {
		if got := roundUp(v); got != want {
			t.Errorf("roundUp(%g) = %g, want %g", v, got, want)
		}
	}
}
