package pool

import "testing"

// Guards against gauges that hide lent or resting connections, or statements that wait.
func TestUsage(t *testing.T) {
	f := start(t, 1, 2, nil)
	shows := func(when string, want Usage) {
		t.Helper()
		want.Server = serverID
		if got := f.Usage(); len(got) != 1 || got[0] != want {
			t.Errorf("%s: %+v, want %+v", when, got, want)
		}
	}
	if got := f.Usage(); len(got) != 0 {
		t.Errorf("usage %+v of an unused server", got)
	}
	held := f.acquire("a")
	next := make(chan struct{})
	go func() {
		defer close(next)
		f.acquire("b").Release(true)
	}()
	waitFor(t, "waiting request", func() bool { return f.waiting() == 1 })
	shows("in use", Usage{InUse: 1, SlotsInUse: 1, Waiting: 1, OpenedTotal: 1})
	held.Release(true)
	<-next
	shows("released", Usage{Idle: 1, OpenedTotal: 1})
}
