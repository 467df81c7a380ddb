package succession

import "github.com/cyclamenstile/cyclamenstile/decision/position"

// Replica is a server of the database other than the former primary.
type Replica struct {
	ID string
	// Eligible: it may be promoted.
	Eligible bool
}

// Basis is the evidence that a server has all acknowledged commits.
type Basis string

const (
	// BasisNone: it is not known which server has all acknowledged commits, or none of those that have is eligible.
	BasisNone Basis = ""
	// BasisNoCopies: commits are acknowledged without replicas.
	BasisNoCopies Basis = "no_copies"
	// BasisReplicas: so many replicas have answered that each acknowledged commit is in one of their logs.
	BasisReplicas Basis = "replicas"
	// BasisOrdered: the server had them when its promotion was first to be ordered, and nothing is acknowledged at another one since.
	BasisOrdered Basis = "ordered"
	// BasisFormer: the server has received what the former primary had when it stepped down.
	BasisFormer Basis = "former_primary"
)

// Selection collects the answers of the servers of a database. It is not safe for concurrent use.
type Selection struct {
	copies   int
	replicas []Replica
	complete bool                         // replicas holds every server that may have acknowledged a commit
	received map[string]position.Position // by server
	partial  map[string]bool              // may lack commits that the server acknowledged
	former   *position.Position
}

// New returns a selection without answers. Commits are acknowledged once the given number of replicas has received them.
func New(copies int) *Selection {
	return &Selection{copies: copies, received: map[string]position.Position{}, partial: map[string]bool{}}
}

// SetReplicas sets the servers that are in the list, without the former primary. complete tells that the list lacks no server whose entry
// may return.
func (s *Selection) SetReplicas(replicas []Replica, complete bool) {
	s.replicas, s.complete = replicas, complete
}

// Record records the end of a server's log, as it has told.
func (s *Selection) Record(server string, received position.Position) {
	s.received[server] = received
	delete(s.partial, server)
}

// RecordPartial records the end of the log of a server that may lack commits which it acknowledged, as it has started again.
func (s *Selection) RecordPartial(server string, received position.Position) {
	s.received[server] = received
	s.partial[server] = true
}

// RecordFormer records the end of the former primary's log, as it has told after it stepped down.
func (s *Selection) RecordFormer(final position.Position) {
	s.former = &final
}

// KnowsAllCommits reports whether the replicas that have answered have received every commit that was acknowledged before, in one log or
// another.
func (s *Selection) KnowsAllCommits() bool {
	return s.copies == 0 || s.complete && len(s.Unheard()) < s.copies
}

// IsListComplete reports whether the list of servers lacks none whose entry may return.
func (s *Selection) IsListComplete() bool {
	return s.complete
}

// Unheard returns the replicas that have not answered, or only with a log that may lack commits which they acknowledged.
func (s *Selection) Unheard() []string {
	var out []string
	for _, r := range s.replicas {
		if _, ok := s.received[r.ID]; !ok || s.partial[r.ID] {
			out = append(out, r.ID)
		}
	}
	return out
}

// Choose returns the server with the longest log that has all acknowledged commits, and the evidence for that; an empty one with
// BasisNone. It prefers eligible servers, and among servers with equal logs the last one by prefer. Others than eligible ones are chosen
// with anyServer only.
func (s *Selection) Choose(anyServer bool, prefer func(a, b string) int) (server string, basis Basis) {
	if server, basis = s.choose(true, prefer); basis == BasisNone && anyServer {
		return s.choose(false, prefer)
	}
	return server, basis
}

func (s *Selection) choose(eligible bool, prefer func(a, b string) int) (server string, basis Basis) {
	for _, r := range s.replicas {
		b := s.Proof(r.ID)
		if r.Eligible != eligible || b == BasisNone {
			continue
		}
		if c := s.received[r.ID].Compare(s.received[server]); server == "" || c > 0 || c == 0 && prefer(r.ID, server) > 0 {
			server, basis = r.ID, b
		}
	}
	return server, basis
}

// Proof returns the evidence that a server which has answered has all acknowledged commits, or BasisNone.
func (s *Selection) Proof(server string) Basis {
	received, answered := s.received[server]
	switch {
	case !answered:
		return BasisNone
	case s.copies == 0:
		return BasisNoCopies
	case s.former != nil && !received.Less(*s.former):
		return BasisFormer
	case s.KnowsAllCommits() && !s.partial[server] && !received.Less(s.Longest()):
		return BasisReplicas
	}
	return BasisNone
}

// Longest returns the end of the longest log of the replicas that have answered.
func (s *Selection) Longest() position.Position {
	var out position.Position
	for _, r := range s.replicas {
		out = position.Max(out, s.received[r.ID])
	}
	return out
}

// IsBehind reports whether a server is known to lack commits that another replica has received, and that may be acknowledged.
func (s *Selection) IsBehind(server string) bool {
	received, answered := s.received[server]
	return answered && received.Less(s.Longest()) && s.Proof(server) == BasisNone
}
