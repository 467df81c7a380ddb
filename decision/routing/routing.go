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

// DefaultFreshFor is how old a replica's last answer may be. The idle probe interval is 100 ms,
// so a replica beyond it has missed several probes.
const DefaultFreshFor = time.Second

// Place tells where an instance or a server is.
type Place struct {
	Region        string
	FailureDomain string
}

// Config describes the surroundings of the choosing instance.
type Config struct {
	Here   Place
	Places map[authority.ServerID]Place
	// FreshFor bounds the age of a replica's last answer; zero takes DefaultFreshFor.
	FreshFor time.Duration
	// Outstanding returns the statements in execution on a server; nil counts none.
	Outstanding func(authority.ServerID) int
}

// Request asks for a server for one read.
type Request struct {
	// Session is the highest confirmed position of the session.
	Session position.Position
	// Sampled is the floor sampled for this read, zero without a sample.
	Sampled position.Position
	// Stale, when set, is a position that the answer has to include for its staleness bound.
	// Without it a request with a staleness bound is served by the primary.
	Stale position.Position
	// Bounded tells that the request has a staleness bound.
	Bounded bool
	Exclude []authority.ServerID
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
	// Hopeful tells that a replica would fit if it were further advanced, so that a short wait
	// may spare the primary.
	Hopeful bool
}

// Choose returns the nearest replica that fits the request, else the primary.
func (c *Config) Choose(now time.Duration, v *authority.View, r Request) Choice {
	primary := v.PrimaryView()
	if lost := c.lost(primary, r); lost != 0 {
		return choice(lost, primary)
	}
	if replica := c.nearest(now, v, r); replica != nil {
		return choice(KindReplica, replica)
	}
	if c.usable(primary, r) {
		out := choice(KindPrimary, primary)
		out.Hopeful = c.hopeful(now, v, r)
		return out
	}
	return Choice{Kind: KindWait}
}

func choice(kind Kind, s *authority.ServerView) Choice {
	return Choice{Kind: kind, Server: s.ID, Term: s.State.Term, Incarnation: s.State.Incarnation}
}

// lost returns KindLost or KindResample if the primary's history lacks a floor.
func (c *Config) lost(primary *authority.ServerView, r Request) Kind {
	switch {
	case primary == nil:
		return 0
	case dropped(primary.State, r.Session):
		return KindLost
	case dropped(primary.State, r.Sampled):
		return KindResample
	}
	return 0
}

// dropped reports whether a later term began below p. In p's own term the known position may
// only be older than p.
func dropped(primary authority.ServerState, p position.Position) bool {
	return primary.Term > p.Term && !primary.History.Contains(p)
}

// usable reports whether the primary may be the one that has the floors. A primary that is
// leaving or failing is still the only one.
func (c *Config) usable(primary *authority.ServerView, r Request) bool {
	if primary == nil || slices.Contains(r.Exclude, primary.ID) {
		return false
	}
	return primary.State.Term >= max(r.Session.Term, r.Sampled.Term)
}

func (c *Config) nearest(now time.Duration, v *authority.View, r Request) *authority.ServerView {
	if r.Bounded && r.Stale.IsZero() {
		return nil
	}
	var fit []*authority.ServerView
	for i := range v.Servers {
		if s := &v.Servers[i]; c.fits(now, v, s, r) {
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

func (c *Config) hopeful(now time.Duration, v *authority.View, r Request) bool {
	return slices.ContainsFunc(v.Servers, func(s authority.ServerView) bool {
		return c.serves(now, v, &s, r)
	})
}

func (c *Config) fits(now time.Duration, v *authority.View, s *authority.ServerView, r Request) bool {
	if !c.serves(now, v, s, r) {
		return false
	}
	return Includes(s.State, r.Session) && Includes(s.State, r.Sampled) && Includes(s.State, r.Stale)
}

// serves reports whether a server answers reads at all.
func (c *Config) serves(now time.Duration, v *authority.View, s *authority.ServerView, r Request) bool {
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
	return cmp.Or(c.FreshFor, DefaultFreshFor)
}

func (c *Config) outstanding(id authority.ServerID) int {
	if c.Outstanding == nil {
		return 0
	}
	return c.Outstanding(id)
}

// distance orders servers by how far they are: same failure domain, same region, elsewhere.
func (c *Config) distance(id authority.ServerID) int {
	place := c.Places[id]
	switch {
	case place == c.Here:
		return 0
	case place.Region == c.Here.Region:
		return 1
	}
	return 2
}
