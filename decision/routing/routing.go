// Package routing chooses the server for a read from what one instance knows about a database
// group.
//
// Invariants:
//
//   - A replica is chosen only when the position known for its incarnation is at or past every
//     floor of the request and its history contains them, so its answer includes them. A later
//     restart or rewind changes the incarnation, and no connection of the old one survives.
//   - The primary is chosen only together with the term whose authority the caller has to have
//     proven by a probe round begun after the read arrived.
//   - A write is called lost only from the history of the primary of a later term.
package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// DefaultMaxAnswerAge is how old a replica's last answer may be. The idle probe interval is 100 ms,
// so a replica beyond it has missed several probes.
const DefaultMaxAnswerAge = time.Second

// Locality tells where an instance or a server is.
type Locality struct {
	Region        string
	FailureDomain string
}

// Config describes the surroundings of the choosing instance.
type Config struct {
	Local      Locality
	Localities map[authority.ServerID]Locality
	// MaxAnswerAge bounds the age of a replica's last answer; zero takes DefaultMaxAnswerAge.
	MaxAnswerAge time.Duration
	// Outstanding returns the statements in execution on a server; nil counts none.
	Outstanding func(authority.ServerID) int
}

// Request asks for a server for one read.
type Request struct {
	// SessionFloor is the highest confirmed position of the session.
	SessionFloor position.Position
	// SampledFloor is the floor sampled for this read, zero without a sample.
	SampledFloor position.Position
	// StalenessFloor, when set, is a position that the answer has to include for its staleness bound.
	// Without it a request with a staleness bound is served by the primary.
	StalenessFloor position.Position
	// HasStalenessBound tells that the request has a staleness bound.
	HasStalenessBound bool
	Exclude           []authority.ServerID
}

// Kind tells how to go on with a read.
type Kind int

const (
	// KindWait: no server is known yet; choose again when the view has changed.
	KindWait Kind = iota + 1
	// KindReplica: the replica answers the read as it is.
	KindReplica
	// KindPrimary: no replica fits; the primary may answer once its authority is proven.
	KindPrimary
	// KindLost: the session's floor is not in the present primary's history.
	KindLost
	// KindResample: the sampled floor is not in the present primary's history.
	KindResample
)

// Choice is the answer to a Request.
type Choice struct {
	Kind   Kind
	Server authority.ServerID
	// Term and Incarnation are those of the server when it was chosen.
	Term        uint64
	Incarnation uint64
	// ReplicaMayCatchUp tells that a replica would fit if it were further advanced, so that a short wait
	// may spare the primary.
	ReplicaMayCatchUp bool
}

// Choose returns the nearest replica that fits the request, else the primary.
func (c *Config) Choose(now time.Duration, v *authority.View, r Request) Choice {
	primary := v.PrimaryView()
	if lost := c.lost(primary, r); lost != 0 {
		return newChoice(lost, primary)
	}
	if replica := c.nearestReplica(now, v, r); replica != nil {
		return newChoice(KindReplica, replica)
	}
	if c.mayUsePrimary(primary, r) {
		out := newChoice(KindPrimary, primary)
		out.ReplicaMayCatchUp = c.replicaMayCatchUp(now, v, r)
		return out
	}
	return Choice{Kind: KindWait}
}

func newChoice(kind Kind, s *authority.ServerView) Choice {
	return Choice{Kind: kind, Server: s.ID, Term: s.State.Term, Incarnation: s.State.Incarnation}
}

// lost returns KindLost or KindResample if the primary's history lacks a floor.
func (c *Config) lost(primary *authority.ServerView, r Request) Kind {
	switch {
	case primary == nil:
		return 0
	case historyLacks(primary.State, r.SessionFloor):
		return KindLost
	case historyLacks(primary.State, r.SampledFloor):
		return KindResample
	}
	return 0
}

// historyLacks reports whether a later term began below p. In p's own term the known position may
// only be older than p.
func historyLacks(primary authority.ServerState, p position.Position) bool {
	return primary.Term > p.Term && !primary.History.Contains(p)
}

// mayUsePrimary reports whether the primary may be the one that has the floors. A primary that is
// leaving or failing is still the only one.
func (c *Config) mayUsePrimary(primary *authority.ServerView, r Request) bool {
	if primary == nil || slices.Contains(r.Exclude, primary.ID) {
		return false
	}
	return primary.State.Term >= max(r.SessionFloor.Term, r.SampledFloor.Term)
}

func (c *Config) nearestReplica(now time.Duration, v *authority.View, r Request) *authority.ServerView {
	if r.HasStalenessBound && r.StalenessFloor.IsZero() {
		return nil
	}
	var fit []*authority.ServerView
	for i := range v.Servers {
		if s := &v.Servers[i]; c.satisfies(now, v, s, r) {
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return slices.MinFunc(fit, func(a, b *authority.ServerView) int {
		return cmp.Or(
			cmp.Compare(c.distance(a.ID), c.distance(b.ID)),
			cmp.Compare(c.outstanding(a.ID), c.outstanding(b.ID)),
		)
	})
}

func (c *Config) replicaMayCatchUp(now time.Duration, v *authority.View, r Request) bool {
	return slices.ContainsFunc(v.Servers, func(s authority.ServerView) bool {
		return c.servesReads(now, v, &s, r)
	})
}

func (c *Config) satisfies(now time.Duration, v *authority.View, s *authority.ServerView, r Request) bool {
	if !c.servesReads(now, v, s, r) {
		return false
	}
	return Includes(s.State, r.SessionFloor) && Includes(s.State, r.SampledFloor) && Includes(s.State, r.StalenessFloor)
}

// servesReads reports whether a server answers reads at all.
func (c *Config) servesReads(now time.Duration, v *authority.View, s *authority.ServerView, r Request) bool {
	switch {
	case s.State.Role != authority.RoleReplica || s.State.Term != v.Term:
		return false
	case s.Leaving || slices.Contains(r.Exclude, s.ID):
		return false
	}
	return s.Reachable(now, c.freshFor())
}

// Includes reports whether a server in this state has applied p.
func Includes(s authority.ServerState, p position.Position) bool {
	return !s.Position().Less(p) && s.LSN >= p.LSN && s.History.Contains(p)
}

func (c *Config) freshFor() time.Duration {
	return cmp.Or(c.MaxAnswerAge, DefaultMaxAnswerAge)
}

func (c *Config) outstanding(id authority.ServerID) int {
	if c.Outstanding == nil {
		return 0
	}
	return c.Outstanding(id)
}

// distance orders servers by how far they are: same failure domain, same region, elsewhere.
func (c *Config) distance(id authority.ServerID) int {
	place := c.Localities[id]
	switch {
	case place == c.Local:
		return 0
	case place.Region == c.Local.Region:
		return 1
	}
	return 2
}
