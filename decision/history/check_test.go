package history

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

func sent(at int, session, key, value string) Event {
	return Event{Kind: WriteSent, At: time.Duration(at) * ms, Session: session, Key: key, Value: value}
}

func answered(at int, kind EventKind, value string) Event {
	return Event{Kind: kind, At: time.Duration(at) * ms, Value: value}
}

func acknowledged(at int, value string, term uint64) Event {
	return Event{Kind: WriteAcknowledged, At: time.Duration(at) * ms, Value: value, Term: term}
}

func read(from, to int, session, key string, values ...string) Event {
	return Event{Kind: ReadReturned, Sent: time.Duration(from) * ms, At: time.Duration(to) * ms, Session: session, Key: key, Values: values}
}

func superseded(at int, term uint64) Event {
	return Event{Kind: Superseded, At: time.Duration(at) * ms, Term: term}
}

// Guards against a checker that misses a violation or reports one in an allowed history.
func TestCheck(t *testing.T) {
	acknowledgedWrite := []Event{sent(0, "s", "k", "a"), acknowledged(5, "a", 1)}
	with := func(base []Event, more ...Event) []Event { return append(append([]Event(nil), base...), more...) }
	cases := []struct {
		name   string
		events []Event
		final  map[string][]string
		want   []Violation
	}{
		{name: "empty"},
		{name: "own write read", events: with(acknowledgedWrite, read(6, 9, "s", "k", "a"))},
		{name: "own write missing", events: with(acknowledgedWrite, read(6, 9, "s", "k")),
			want: []Violation{StaleRead{"s", "k", "a", 5 * ms, 6 * ms}}},
		{name: "read sent before the acknowledgement", events: with(acknowledgedWrite, read(4, 9, "s", "k"))},
		{name: "other session's read", events: with(acknowledgedWrite, read(6, 9, "t", "k"))},
		{name: "read of another key", events: with(acknowledgedWrite, read(6, 9, "s", "l"))},
		{name: "own write reported as lost", events: with(acknowledgedWrite, answered(6, WriteReportedLost, "a"), read(7, 9, "s", "k")), final: map[string][]string{}},
		{name: "own write reported as lost after the read", events: with(acknowledgedWrite, read(6, 9, "s", "k"), answered(10, WriteReportedLost, "a")),
			want: []Violation{StaleRead{"s", "k", "a", 5 * ms, 6 * ms}}},
		{name: "acknowledged write lost", events: acknowledgedWrite, final: map[string][]string{"k": {"other"}},
			want: []Violation{LostWrite{"s", "k", "a", 5 * ms}}},
		{name: "final content not read", events: acknowledgedWrite},
		{name: "unknown write absent", events: []Event{sent(0, "s", "k", "a"), answered(5, WriteUnknown, "a")}, final: map[string][]string{}},
		{name: "unknown write present", events: []Event{sent(0, "s", "k", "a"), answered(5, WriteUnknown, "a")}, final: map[string][]string{"k": {"a"}}},
		{name: "unknown write twice", events: []Event{sent(0, "s", "k", "a"), answered(5, WriteUnknown, "a")}, final: map[string][]string{"k": {"a", "b", "a"}},
			want: []Violation{ExecutedTwice{"s", "k", "a", 2}}},
		{name: "acknowledged write twice in a read", events: with(acknowledgedWrite, read(6, 9, "t", "k", "a", "a")),
			want: []Violation{ExecutedTwice{"s", "k", "a", 2}}},
		{name: "not run and absent", events: []Event{sent(0, "s", "k", "a"), answered(5, WriteNotRun, "a")}, final: map[string][]string{}},
		{name: "not run but present", events: []Event{sent(0, "s", "k", "a"), answered(5, WriteNotRun, "a")}, final: map[string][]string{"k": {"a"}},
			want: []Violation{RanAfterNotRun{"s", "k", "a", 5 * ms}}},
		{name: "not run but seen once by a read", events: []Event{sent(0, "s", "k", "a"), answered(5, WriteNotRun, "a"), read(1, 2, "t", "k", "a")}, final: map[string][]string{},
			want: []Violation{RanAfterNotRun{"s", "k", "a", 5 * ms}}},
		{name: "pending write present", events: []Event{sent(0, "s", "k", "a")}, final: map[string][]string{"k": {"a"}}},
		{name: "value of another key", events: with(acknowledgedWrite, read(6, 9, "t", "l", "a")),
			want: []Violation{MixedResult{"l", "a", "k"}}},
		{name: "acknowledged in the new term", events: []Event{superseded(1, 2), sent(3, "s", "k", "a"), acknowledged(5, "a", 2)}},
		{name: "sent before the new term", events: []Event{sent(0, "s", "k", "a"), superseded(1, 2), acknowledged(5, "a", 1)}},
		{name: "sent after the new term, acknowledged in the old", events: []Event{superseded(1, 2), sent(3, "s", "k", "a"), acknowledged(5, "a", 1)},
			want: []Violation{AcknowledgedAfterSupersession{"s", "k", "a", 3 * ms, 1, 2, 1 * ms}}},
		{name: "term unknown", events: []Event{superseded(1, 2), sent(3, "s", "k", "a"), acknowledged(5, "a", 0)}},
	}
	for _, c := range cases {
		got := Check(History{Events: c.events, Final: c.final})
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func admitted(account string, times ...int) []Event {
	var list []Event
	for _, at := range times {
		d := time.Duration(at) * ms
		list = append(list, Event{Kind: Admitted, Account: account, Sent: d, At: d})
	}
	return list
}

// Guards against a rate check that misses a violating window or reports an allowed one.
func TestAdmissions(t *testing.T) {
	limit := map[string]Limit{"x": {Rate: 10, Burst: 2}}
	uncertain := admitted("x", 0, 0, 0)
	uncertain[2].At = 100 * ms // may have been admitted late enough for the rate to allow it
	cases := []struct {
		name   string
		events []Event
		want   []Violation
	}{
		{"burst", admitted("x", 0, 0), nil},
		{"burst and rate", admitted("x", 0, 0, 100, 200, 300), nil},
		{"above the burst", admitted("x", 5, 5, 5), []Violation{OverAdmitted{"x", 5 * ms, 5 * ms, 3, 2}}},
		{"above the rate", admitted("x", 0, 0, 100, 150), []Violation{OverAdmitted{"x", 0, 150 * ms, 4, 3.5}}},
		{"burst after a pause", admitted("x", 0, 900, 900, 950), []Violation{OverAdmitted{"x", 900 * ms, 950 * ms, 3, 2.5}}},
		{"account without limit", admitted("y", 0, 0, 0), nil},
		{"uncertain time", uncertain, nil},
		{"uncertain but too many", append(admitted("x", 0, 0, 0, 0), uncertain[2]), []Violation{OverAdmitted{"x", 0, 0, 4, 2}}},
	}
	for _, c := range cases {
		got := Check(History{Events: c.events, Limits: limit})
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Compares the efficient check with a brute-force comparison of all windows on random admissions.
func TestAdmissionsAgainstAllWindows(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		limit := Limit{Rate: 1 + 20*random.Float64(), Burst: float64(1 + random.IntN(5))}
		exact := random.IntN(2) == 0
		var list []admission
		for range random.IntN(30) {
			at := time.Duration(random.IntN(1000)) * ms
			a := admission{at, at}
			if !exact {
				a.answered += time.Duration(random.IntN(50)) * ms
			}
			list = append(list, a)
		}
		want := excessOfAllWindows(list, limit)
		worst, found := worstWindow(list, limit)
		got := math.Max(0, float64(worst.Admitted)-worst.Allowed)
		if found != (want > roundingSlack) || math.Abs(got-want) > 1e-3 {
			t.Fatalf("%v with %+v: %+v, excess %f, want %f", list, limit, worst, got, want)
		}
	}
}

func excessOfAllWindows(list []admission, limit Limit) float64 {
	worst := 0.0
	for _, first := range list {
		for _, last := range list {
			n := 0
			for _, a := range list {
				if a.sent >= first.sent && a.answered <= last.answered {
					n++
				}
			}
			window := limit.window(first.sent, last.answered, n)
			if n > 0 {
				worst = math.Max(worst, float64(n)-window.Allowed)
			}
		}
	}
	return worst
}

// Guards against counting refusals of statements above the limit, or missing refusals of statements
// within it.
func TestRefusedWithinLimit(t *testing.T) {
	refused := func(times ...int) []Event {
		list := admitted("x", times...)
		for i := range list {
			list[i].Kind = Refused
		}
		return list
	}
	limits := map[string]Limit{"x": {Rate: 10, Burst: 2}}
	cases := []struct {
		name   string
		events []Event
		want   int
	}{
		{"nothing refused", admitted("x", 0, 0), 0},
		{"after the burst", append(admitted("x", 0, 0), refused(1)...), 0},
		{"inside the burst", append(admitted("x", 0), refused(0, 0)...), 1},
		{"after the refill", append(refused(100), admitted("x", 0, 0)...), 1},
		{"everything refused", refused(0, 0, 0, 50, 100), 3},
	}
	for _, c := range cases {
		if got := RefusedWithinLimit(History{Events: c.events, Limits: limits})["x"]; got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}
