package pool

import "testing"

// Guards against gauges that omit connections in use, idle connections or waiting statements.
func TestUsage(t *testing.T) {
	f := start(t, 1, 2, nil)
	checkUsage := func(when string, want Usage) {
		t.Helper()
		want.Server = serverID
		if got := f.Usage(); len(got) != 1 || got[0] != want {
			t.Errorf("%s: %+v, want %+v", when, got, want)
		}
	}
	if got := f.Usage(); len(got) != 0 {
		t.Errorf("usage %+v of an unused server, want none", got)
	}
	held := f.acquire("a")
	next := make(chan struct{})
	go func() {
		defer close(next)
		f.acquire("b").Release(true)
	}()
	waitFor(t, "waiting request", func() bool { return f.waiting() == 1 })
	checkUsage("in use", Usage{InUse: 1, SlotsInUse: 1, Waiting: 1, OpenedTotal: 1})
	held.Release(true)
	<-next
	checkUsage("released", Usage{Idle: 1, OpenedTotal: 1})
}
