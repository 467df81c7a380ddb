package routing

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// view returns primary a and replicas b (same failure domain), c, e (same region), d (elsewhere), all at 2/100 of a log whose term 2 began at 50.
func view() authority.View {
	v := authority.NewView([]authority.ServerID{"a", "b", "c", "d", "e"})
	for i := range v.Servers {
		s := &v.Servers[i]
		s.Known = true
		s.State = authority.ServerState{
			Server: s.ID, Incarnation: 7, Role: authority.RoleReplica, Term: 2, LSN: 100,
			History: position.History{{Term: 1}, {Term: 2, Start: 50}},
		}
	}
	v.Servers[0].State.Role = authority.RolePrimary
	v.Term, v.Primary = 2, "a"
	return v
}

// Guards against a replica that may not answer, or a farther one than needed, and against a lost
// write that is read over.
func TestChoose(t *testing.T) {
	here := Locality{"r", "r1"}
	busy := map[authority.ServerID]int{"c": 3, "e": 1}
	places := map[authority.ServerID]Locality{"a": here, "b": here, "c": {"r", "r2"}, "d": {"q", "q1"}, "e": {"r", "r3"}}
	at := func(term, lsn uint64) position.Position { return position.Position{Term: term, LSN: lsn} }
	cases := []struct {
		name string
		edit func(*authority.View)
		r    Request
		kind Kind
		want authority.ServerID
	}{
		{"nearest", nil, Request{}, KindReplica, "b"},
		{"nearest is leaving", func(v *authority.View) { v.Servers[1].Leaving = true }, Request{}, KindReplica, "e"},
		{"nearest is failing", func(v *authority.View) { v.Servers[1].Failing = true }, Request{}, KindReplica, "e"},
		{"nearest is fenced", func(v *authority.View) { v.Servers[1].State.Role = authority.RoleFenced }, Request{}, KindReplica, "e"},
		{"nearest was not heard for long", func(v *authority.View) { v.Servers[1].Sent = -time.Minute }, Request{}, KindReplica, "e"},
		{"nearest is excluded", nil, Request{Exclude: []authority.ServerID{"b"}}, KindReplica, "e"},
		{"nearest is behind", func(v *authority.View) { v.Servers[1].State.LSN = 99 }, Request{SessionFloor: at(2, 100)}, KindReplica, "e"},
		{"nearest is behind the sample", func(v *authority.View) { v.Servers[1].State.LSN = 99 }, Request{SampledFloor: at(2, 100)}, KindReplica, "e"},
		{"nearest is of an older term", func(v *authority.View) { v.Servers[1].State.Term = 1 }, Request{}, KindReplica, "e"},
		{"least busy of equally far ones", func(v *authority.View) { v.Servers[1].Failing = true }, Request{}, KindReplica, "e"},
		{"floor that nobody has reached", nil, Request{SessionFloor: at(2, 101)}, KindPrimary, "a"},
		{"floor of a later term", nil, Request{SessionFloor: at(3, 10)}, KindWait, ""},
		{"floor of the older term that is kept", nil, Request{SessionFloor: at(1, 50)}, KindReplica, "b"},
		{"floor of the older term that is lost", nil, Request{SessionFloor: at(1, 51)}, KindLost, "a"},
		{"sample of the older term that is dropped", nil, Request{SampledFloor: at(1, 51)}, KindResample, "a"},
		{"staleness bound without a mark", nil, Request{HasStalenessBound: true}, KindPrimary, "a"},
		{"staleness bound with a mark", nil, Request{HasStalenessBound: true, StalenessFloor: at(2, 90)}, KindReplica, "b"},
		{"no primary, replica fits", func(v *authority.View) { v.Primary = "" }, Request{SessionFloor: at(2, 100)}, KindReplica, "b"},
		{"no primary, no replica fits", func(v *authority.View) { v.Primary = "" }, Request{SessionFloor: at(2, 101)}, KindWait, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := view()
			if c.edit != nil {
				c.edit(&v)
			}
			cfg := Config{Local: here, Localities: places, Outstanding: func(id authority.ServerID) int { return busy[id] }}
			got := cfg.Choose(0, &v, c.r)
			if got.Kind != c.kind || got.Server != c.want {
				t.Errorf("got kind %d at %q, want kind %d at %q", got.Kind, got.Server, c.kind, c.want)
			}
		})
	}
}

// Guards against a mark that is older than the bound being taken for the primary's position.
func TestMarks(t *testing.T) {
	var m PrimaryPositions
	if _, ok := m.FloorAt(0); ok {
		t.Error("a mark is known before any was added")
	}
	for i := range uint64(3 * maxPositions) {
		m.Add(time.Duration(i)*minPositionInterval, position.Position{Term: 1, LSN: i})
	}
	const last = 3*maxPositions - 1
	for _, c := range []struct {
		at   time.Duration
		want uint64
		ok   bool
	}{
		{last * minPositionInterval, last, true},
		{last*minPositionInterval + 1, 0, false},
		{(last-1)*minPositionInterval - 1, last - 1, true},
		{0, last - maxPositions + 1, true},
	} {
		got, ok := m.FloorAt(c.at)
		if ok != c.ok || got.LSN != c.want {
			t.Errorf("Since(%v) = %v, %v, want LSN %d, %v", c.at, got, ok, c.want, c.ok)
		}
	}
}
