package openload

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/platformlocal"
)

const testServiceTime = 20 * time.Millisecond

// Guards against latencies that aren't measured from the time at which an operation was due, operations that are missing
// from the counts, and a load that slows down if replies are slow.
func TestRun(t *testing.T) {
	d, err := platformlocal.Start(platformlocal.Config{
		Dir: t.TempDir(), Instances: 2,
		Databases: platformlocal.Databases{Count: 1, Slots: 8, ServiceTime: testServiceTime, MaxConnections: 50},
		Accounts:  []platformlocal.Account{{Name: "a", Key: "k", Rate: 1e6, Burst: 1e6}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	const seconds, rate = 4, 50
	r, err := Run(t.Context(), Config{
		Addresses: d.CallerAddresses(), Databases: d.DatabaseNames(), Key: "k", Seed: 1, Duration: seconds * time.Second,
		Sheet: Sheet{Kinds: []Kind{
			{Name: "writes", Route: platformlocal.StrictRouteSuffix, Rate: rate, WriteShare: 1, LatencyTarget: time.Second, Timeout: 5 * time.Second, Retries: 2},
			{Name: "reads", Route: platformlocal.BoundedRouteSuffix, Rate: rate, TxShare: 0.5, SessionPerOperation: true, LatencyTarget: time.Second, Timeout: 5 * time.Second, Retries: 2},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range r.Kinds {
		if k.Due != k.InTime+k.Late+k.Refused+k.Unknown+k.NotOffered {
			t.Errorf("%s: sum of the outcomes differs from the operations due: %+v", k.Kind, k.Counts)
		}
		// Six standard deviations of a Poisson count of 200 are 85.
		if k.Due < seconds*rate-85 || k.Due > seconds*rate+85 {
			t.Errorf("%s: %d operations were due, want about %d", k.Kind, k.Due, seconds*rate)
		}
		if k.InTime == 0 || k.P50 < float64(testServiceTime.Milliseconds()) {
			t.Errorf("%s: median %.1f ms, want at least the service time %s: %+v", k.Kind, k.P50, testServiceTime, k.Counts)
		}
	}
	if len(r.Series) != seconds {
		t.Errorf("report has %d seconds", len(r.Series))
	}
}
