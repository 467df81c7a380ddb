package failover

import (
	"testing"
	"time"
)

// Guards against a primary that an instance cut off from the others still uses when its successor is promoted, and against
// failovers that wait although every instance has stopped using the primary.
func TestReplacementWaitsForInstancesThatCannotBeTold(t *testing.T) {
	const lostSince = 10 * time.Second
	for _, c := range []struct {
		name string
		now  time.Duration
		told Survey
		want time.Duration
	}{
		{"all have acknowledged", 11 * time.Second, Survey{Asked: 6, Lost: 4, Reaching: 2}, 0},
		{"alone", 11 * time.Second, Survey{}, 0},
		{"one is silent", 11 * time.Second, Survey{Asked: 6, Lost: 4, Reaching: 1}, NoticePeriod - time.Second},
		{"one is silent, long ago", 20 * time.Second, Survey{Asked: 6, Lost: 5}, 0},
	} {
		if got := ReplacementDelay(c.now, lostSince, c.told); got != c.want {
			t.Errorf("%s: delay %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against refusing statements during an outage of the store, and against an instance cut off from the store and
// the others that goes on for longer than others wait.
func TestOnlyInstancesCutOffFromAllStop(t *testing.T) {
	const never = time.Hour
	switch {
	case !MayUsePrimary(never, true):
		t.Error("an outage of the store stops an instance that reaches the others")
	case !MayUsePrimary(time.Second, false):
		t.Error("the loss of the others stops an instance that reaches the store")
	case MayUsePrimary(NoticePeriod, false):
		t.Error("an instance cut off from all goes on after NoticePeriod")
	}
}
