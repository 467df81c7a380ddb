package failover

import (
	"testing"
	"time"
)

const noticePeriod = 5 * time.Second

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
		{"one is silent", 11 * time.Second, Survey{Asked: 6, Lost: 4, Reaching: 1}, noticePeriod - time.Second},
		{"one is silent, long ago", 20 * time.Second, Survey{Asked: 6, Lost: 5}, 0},
	} {
		if got := ReplacementDelay(c.now, lostSince, noticePeriod, c.told); got != c.want {
			t.Errorf("%s: delay %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against an instance that is cut off from the store and uses a primary for longer than others wait, for example
// because it reaches most of the others while those that reach the store are few.
func TestInstanceWithoutStoreStops(t *testing.T) {
	if !MayUsePrimary(noticePeriod/2, noticePeriod) {
		t.Error("an instance stops long before the others replace a primary")
	}
	if MayUsePrimary(noticePeriod-noticePeriod/20, noticePeriod) {
		t.Error("an instance without the store sends statements that arrive after the notice period")
	}
}
