package routing

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// view returns the primary a and the replicas b (same failure domain), c and e (same region) and d
// (other region), all at position 2/100 of a log whose term 2 began at 50.
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

// Guards against choosing a replica that must not answer or that is farther away than necessary, and
// against a read that ignores the loss of a write of its session.
func TestChoose(t *testing.T) {
	local := Locality{"r", "r1"}
	busy := map[authority.ServerID]int{"c": 3, "e": 1}
	localities := map[authority.ServerID]Locality{"a": local, "b": local, "c": {"r", "r2"}, "d": {"q", "q1"}, "e": {"r", "r3"}}
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
		{"nearest has not answered for a minute", func(v *authority.View) { v.Servers[1].Sent = -time.Minute }, Request{}, KindReplica, "e"},
		{"nearest is excluded", nil, Request{Exclude: []authority.ServerID{"b"}}, KindReplica, "e"},
		{"nearest is behind", func(v *authority.View) { v.Servers[1].State.LSN = 99 }, Request{SessionFloor: at(2, 100)}, KindReplica, "e"},
		{"nearest is behind the sample", func(v *authority.View) { v.Servers[1].State.LSN = 99 }, Request{SampledFloor: at(2, 100)}, KindReplica, "e"},
		{"nearest is of an older term", func(v *authority.View) { v.Servers[1].State.Term = 1 }, Request{}, KindReplica, "e"},
		{"least busy of equally distant replicas", func(v *authority.View) { v.Servers[1].Failing = true }, Request{}, KindReplica, "e"},
		{"floor that no server has reached", nil, Request{SessionFloor: at(2, 101)}, KindPrimary, "a"},
		{"floor of a later term", nil, Request{SessionFloor: at(3, 10)}, KindWait, ""},
		{"floor of an older term, in the history", nil, Request{SessionFloor: at(1, 50)}, KindReplica, "b"},
		{"floor of an older term, lost", nil, Request{SessionFloor: at(1, 51)}, KindLost, "a"},
		{"sample of an older term, lost", nil, Request{SampledFloor: at(1, 51)}, KindResample, "a"},
		{"staleness bound without a known position", nil, Request{HasStalenessBound: true}, KindPrimary, "a"},
		{"staleness bound with a known position", nil, Request{HasStalenessBound: true, StalenessFloor: at(2, 90)}, KindReplica, "b"},
		{"no primary, replica qualifies", func(v *authority.View) { v.Primary = "" }, Request{SessionFloor: at(2, 100)}, KindReplica, "b"},
		{"no primary, no replica qualifies", func(v *authority.View) { v.Primary = "" }, Request{SessionFloor: at(2, 101)}, KindWait, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := view()
			if c.edit != nil {
				c.edit(&v)
			}
			cfg := Config{Local: local, Localities: localities, Outstanding: func(id authority.ServerID) int { return busy[id] }}
			got := cfg.Choose(0, &v, c.r)
			if got.Kind != c.kind || got.Server != c.want {
				t.Errorf("got kind %d on server %q, want kind %d on %q", got.Kind, got.Server, c.kind, c.want)
			}
		})
	}
}

// Guards against a staleness floor from a position recorded before the bound.
func TestPrimaryPositions(t *testing.T) {
	var positions PrimaryPositions
	if _, ok := positions.FloorAt(0); ok {
		t.Error("FloorAt returned a position before any was added")
	}
	for i := range uint64(3 * maxPositions) {
		positions.Add(time.Duration(i)*minPositionInterval, position.Position{Term: 1, LSN: i})
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
		got, ok := positions.FloorAt(c.at)
		if ok != c.ok || got.LSN != c.want {
			t.Errorf("FloorAt(%v) = %v, %v, want LSN %d, %v", c.at, got, ok, c.want, c.ok)
		}
	}
}
