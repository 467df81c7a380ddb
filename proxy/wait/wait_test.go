package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against waits that go on after the end of their context, and against periods that are skipped
// or go on after it.
func TestWaitsEndWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		began := time.Now()
		calls := 0
		Every(ctx, time.Second, func() { calls++ })
		if took := time.Since(began); calls != 3 || took != 3500*time.Millisecond {
			t.Errorf("%d calls in %s", calls, took)
		}
		if For(ctx, time.Hour) || !For(t.Context(), time.Second) {
			t.Error("For tells the wrong end")
		}
		if took := time.Since(began); took != 4500*time.Millisecond {
			t.Errorf("the waits took %s", took)
		}
	})
}
