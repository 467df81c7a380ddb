// Package routing chooses the server for a read, based on one instance's view of a database group.
//
// Invariants:
//
//   - A replica is chosen only if the position known for its incarnation is at or past every floor
//     of the request and its history contains them, so its answer includes them. A later restart
//     or rewind changes the incarnation, and no connection to the old incarnation survives.
//   - The primary is returned together with its term. The caller has to prove the authority of that
//     term by a probe round that began after the read arrived.
//   - A write is reported as lost only on the evidence of the history of a later term's primary.
package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// DefaultMaxAnswerAge is the maximum age of a replica's last probe answer. The idle probe interval
// is 100 ms, so a replica with an older answer has missed several probes.
const DefaultMaxAnswerAge = time.Second

// Locality is the region and failure domain of an instance or a server.
type Locality struct {
	Region        string
	FailureDomain string
}

// Config holds the localities and limits that the choice is based on.
type Config struct {
	Local      Locality // of this instance
	Localities map[authority.ServerID]Locality
	// MaxAnswerAge limits the age of a replica's last answer; zero means DefaultMaxAnswerAge.
	MaxAnswerAge time.Duration
	// Outstanding returns the number of statements running on a server; nil means 0 for every server.
	Outstanding func(authority.ServerID) int
}

// Request asks for a server for one read.
type Request struct {
	// SessionFloor is the highest position confirmed to the session.
	SessionFloor position.Position
	// SampledFloor is the floor sampled for this read, zero without a sample.
	SampledFloor position.Position
	// StalenessFloor, if set, is the position that the answer has to include to meet the staleness
	// bound. A request that has a staleness bound but no StalenessFloor is routed to the primary.
	StalenessFloor    position.Position
	HasStalenessBound bool
	Exclude           []authority.ServerID
}

// Kind is the action to take for a read.
type Kind int

const (
	// KindWait: no usable server is known; choose again when the view has changed.
	KindWait Kind = iota + 1
	// KindReplica: the replica can answer the read without further checks.
	KindReplica
	// KindPrimary: no replica qualifies; the primary may answer once its authority is proven.
	KindPrimary
	// KindLost: the session's floor is not in the current primary's history.
	KindLost
	// KindResample: the sampled floor is not in the current primary's history.
	KindResample
)

// Choice is the answer to a Request.
type Choice struct {
	Kind   Kind
	Server authority.ServerID
	// Term and Incarnation are the server's values when it was chosen.
	Term        uint64
	Incarnation uint64
	// ReplicaMayCatchUp is set with KindPrimary if a replica only lacks a position, so that a short
	// wait may avoid a read on the primary.
	ReplicaMayCatchUp bool
}

// Choose returns the nearest replica that satisfies the request, or else the primary.
func (c *Config) Choose(now time.Duration, v *authority.View, r Request) Choice {
	primary := v.PrimaryView()
	if kind := c.lostFloor(primary, r); kind != 0 {
		return newChoice(kind, primary)
	}
	if replica := c.nearestReplica(now, v, r); replica != nil {
		return newChoice(KindReplica, replica)
	}
	if c.mayUsePrimary(primary, r) {
		choice := newChoice(KindPrimary, primary)
		choice.ReplicaMayCatchUp = c.replicaMayCatchUp(now, v, r)
		return choice
	}
	return Choice{Kind: KindWait}
}

func newChoice(kind Kind, s *authority.ServerView) Choice {
	return Choice{Kind: kind, Server: s.ID, Term: s.State.Term, Incarnation: s.State.Incarnation}
}

// lostFloor returns KindLost or KindResample if the primary's history lacks a floor, and 0 otherwise.
func (c *Config) lostFloor(primary *authority.ServerView, r Request) Kind {
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

// historyLacks reports whether the primary's history lacks p because a later term began below it. If
// the primary is still in p's term, it has p even if the known position is lower, since that position
// may be outdated.
func historyLacks(primary authority.ServerState, p position.Position) bool {
	return primary.Term > p.Term && !primary.History.Contains(p)
}

// mayUsePrimary reports whether the primary is not excluded and its term is not older than the
// floors. A leaving or failing primary is still used, since there is no other.
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
	var candidates []*authority.ServerView
	for i := range v.Servers {
		if s := &v.Servers[i]; c.satisfies(now, v, s, r) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *authority.ServerView) int {
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

// servesReads reports whether a server is a replica that may answer reads, regardless of its position.
func (c *Config) servesReads(now time.Duration, v *authority.View, s *authority.ServerView, r Request) bool {
	switch {
	case s.State.Role != authority.RoleReplica || s.State.Term != v.Term:
		return false
	case s.Leaving || slices.Contains(r.Exclude, s.ID):
		return false
	}
	return s.Reachable(now, c.maxAnswerAge())
}

// Includes reports whether a server in state s has applied p.
func Includes(s authority.ServerState, p position.Position) bool {
	return !s.Position().Less(p) && s.LSN >= p.LSN && s.History.Contains(p)
}

func (c *Config) maxAnswerAge() time.Duration {
	return cmp.Or(c.MaxAnswerAge, DefaultMaxAnswerAge)
}

func (c *Config) outstanding(id authority.ServerID) int {
	if c.Outstanding == nil {
		return 0
	}
	return c.Outstanding(id)
}

// distance returns 0 for a server in the same failure domain, 1 in the same region and 2 elsewhere.
func (c *Config) distance(id authority.ServerID) int {
	locality := c.Localities[id]
	switch {
	case locality == c.Local:
		return 0
	case locality.Region == c.Local.Region:
		return 1
	}
	return 2
}
