package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against waits and periodic calls that outlast their context, and against periods that are skipped.
func TestWaitsEndWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		began := time.Now()
		calls := 0
		Every(ctx, time.Second, func() { calls++ })
		if took := time.Since(began); calls != 3 || took != 3500*time.Millisecond {
			t.Errorf("%d calls in %s, want 3 in 3.5s", calls, took)
		}
		if For(ctx, time.Hour) || !For(t.Context(), time.Second) {
			t.Error("For does not report whether the context has ended")
		}
		if took := time.Since(began); took != 4500*time.Millisecond {
			t.Errorf("the waits took %s, want 4.5s", took)
		}
	})
}
