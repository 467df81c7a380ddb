package connlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against shares whose sum exceeds the server's limit.
func TestSharesFitTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 64).Draw(t, "instances")
		l := Limit{Max: rapid.IntRange(instances, 400).Draw(t, "max"), Instances: instances}
		if l.Share() < 1 || l.Share()*instances > l.Max {
			t.Fatalf("%d instances with a share of %d each exceed the limit of %d", instances, l.Share(), l.Max)
		}
		if l.Ceiling() < l.Share() {
			t.Fatalf("ceiling %d is below the share %d", l.Ceiling(), l.Share())
		}
	})
}

// Guards against opening connections to a full server, and against statements that wait although an unsuitable
// idle connection could be replaced.
func TestNextAction(t *testing.T) {
	l := Limit{Max: 23, Instances: 8} // share 2, ceiling 11
	full := 100 * time.Millisecond
	for _, c := range []struct {
		name  string
		usage Usage
		want  Action
	}{
		{"inside the share", Usage{Open: 1}, Open},
		{"inside the share, but refused recently", Usage{Open: 1, FullUntil: full}, Wait},
		{"share used, one idle", Usage{Open: 2, Idle: 1}, Replace},
		{"refused recently, one idle", Usage{Open: 1, Idle: 1, FullUntil: full}, Replace},
		{"share used, all busy", Usage{Open: 2}, Open},
		{"inside the share, one about to become idle", Usage{Open: 1, Returning: 1}, AwaitReturn},
		{"ceiling reached", Usage{Open: 11}, Wait},
	} {
		if got := l.NextAction(0, c.usage); got != c.want {
			t.Errorf("%s: got action %d, want %d", c.name, got, c.want)
		}
	}
	if l.IdleTimeout(3) != IdleTimeoutBorrowed || l.IdleTimeout(2) != IdleTimeoutInShare {
		t.Error("want IdleTimeoutBorrowed beyond the share and IdleTimeoutInShare within it")
	}
}

// Guards against a full server that is asked all the time, and against one that is not asked again soon after it accepted one.
func TestFullServerIsAskedRarely(t *testing.T) {
	l, u, asked := Limit{Max: 56, Instances: 1, Scheduler: true, MaxOpening: 4}, Usage{}, 0
	for now := time.Duration(0); now < 3*time.Second; now += time.Millisecond {
		if l.NextAction(now, u) == Open {
			asked++
			u.Refused(now)
			u.Refused(now) // opened at the same time
		}
	}
	if asked < 6 || asked > 9 {
		t.Errorf("a server that is full for 3 s was asked %d times, want 6 to 9", asked)
	}
	if !l.MayOpen(u) || l.MayOpen(Usage{Refusals: 1, Opening: 1}) {
		t.Error("want one connection to be opened at a time while the server may be full")
	}
	if u.Accepted(); l.NextAction(3*time.Second, u) != Open {
		t.Error("no connection is opened although the server has just accepted one")
	}
}

// Guards against a scheduler that leaves no connection to its successor, while the server still counts those of the
// former one, or to control calls.
func TestLoadSchedulerLeavesConnections(t *testing.T) {
	l := Limit{Max: 56, Instances: 1, Scheduler: true}
	if l.Share() != 42 || l.Ceiling() != 49 {
		t.Errorf("share %d and ceiling %d of 56, want 42 and 49", l.Share(), l.Ceiling())
	}
	if l.IdleTimeout(43) != IdleTimeoutBorrowed {
		t.Error("connections beyond three quarters of the server's are kept although they are idle")
	}
}

// Guards against a scheduler that starts with a burst waiting and occupies all slots of the server with new connections,
// and against statements admitted for connections that the server refuses.
func TestLoadSchedulerOpensAConnectionPerSlot(t *testing.T) {
	l := Limit{Max: 56, Instances: 1, Scheduler: true, MaxOpening: 4}
	for _, c := range []struct {
		usage Usage
		want  Action
	}{
		{Usage{Open: 3, Opening: 3}, Open},
		{Usage{Open: 4, Opening: 4}, Wait},
		{Usage{Open: 43, Opening: 4, Idle: 39}, Wait},
		{Usage{Open: 43, Opening: 3, Idle: 39}, Replace},
		{Usage{Open: 4, Opening: 4, Returning: 1}, AwaitReturn},
	} {
		if got := l.NextAction(0, c.usage); got != c.want {
			t.Errorf("%+v: got action %d, want %d", c.usage, got, c.want)
		}
	}
	if n := l.Usable(0, Usage{Open: 14, FullUntil: time.Second}); n != 14 {
		t.Errorf("%d connections are usable while the server refuses more than 14", n)
	}
	if n := l.Usable(time.Second, Usage{Open: 14, FullUntil: time.Second}); n != 49 {
		t.Errorf("%d connections are usable, want the ceiling of 49", n)
	}
}

// Guards against slots that are idle during the round trip to a server in another region, and against more statements
// than two per slot where the round trip is short.
func TestLoadSchedulerKeepsSlotsFilledAcrossTheRoundTrip(t *testing.T) {
	for _, c := range []struct {
		roundTrip, service time.Duration
		want               int
	}{
		{0, 0, 8},
		{time.Millisecond, 10 * time.Millisecond, 8},
		{10 * time.Millisecond, 10 * time.Millisecond, 8},
		{40 * time.Millisecond, 10 * time.Millisecond, 20},
		{40 * time.Millisecond, 30 * time.Millisecond, 10},
		{40 * time.Millisecond, time.Millisecond, 32},
	} {
		var l Link
		for range 200 {
			l.Connected(c.roundTrip)
			// Eight in flight keep four slots filled, or none of them waits for a slot.
			l.Ran(max(c.roundTrip+c.service, 2*c.service), 8, 4)
		}
		if got := l.MaxExecutions(4); got != c.want {
			t.Errorf("round trip %s, service time %s: %d statements, want %d", c.roundTrip, c.service, got, c.want)
		}
	}
}

// Guards against more statements than the server can run after a first connection that the machine has delayed: a statement
// that ended sooner proves that the round trip is shorter.
func TestLoadSchedulerIgnoresADelayedConnection(t *testing.T) {
	var l Link
	l.Connected(100 * time.Millisecond)
	for i := range 100 {
		took := 12 * time.Millisecond
		if i%4 == 0 {
			took = 130 * time.Millisecond
		}
		l.Ran(took, 8, 4)
	}
	if got := l.MaxExecutions(4); got != 8 {
		t.Errorf("%d statements at a server with a short round trip, want 8", got)
	}
}
