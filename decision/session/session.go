package session

import (
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// State is the state of one session. Use New. It is not safe for concurrent use.
type State struct {
	database      string
	scope         manifest.SessionScope
	floor         position.Position
	sampled       bool // the floor covers a sample, or a token was given
	tokenUnproven bool // the floor is a token that no server has accepted yet
	provenFloor   position.Position
	checkedTerm   uint64 // highest term whose history is known to contain the floor
}

// New returns the state of a session without writes.
func New(database string, scope manifest.SessionScope) State {
	return State{database: database, scope: scope}
}

// ReadRequirement is what a read of the session has to see.
type ReadRequirement struct {
	Floor  position.Position
	Sample bool // raise the floor to a sample begun after the read arrived
}

// ReadRequirement returns the floor of the next read.
func (s *State) ReadRequirement() ReadRequirement {
	return ReadRequirement{Floor: s.floor, Sample: !s.sampled}
}

// Token renders the floor for the client, or returns an empty text before the first write.
func (s *State) Token() string {
	if s.floor.IsZero() {
		return ""
	}
	return FormatToken(s.database, s.floor)
}

// AcceptToken raises the floor to the client's token. An empty token is ignored. The error is an
// *outcome.Error of kind Invalid.
func (s *State) AcceptToken(text string) error {
	if text == "" {
		return nil
	}
	p, err := ParseToken(s.database, text)
	if err != nil {
		return err
	}
	s.sampled = true
	if !s.floor.Less(p) {
		return nil
	}
	if !s.tokenUnproven {
		s.provenFloor = s.floor
	}
	s.floor = p
	s.tokenUnproven = true
	return nil
}

// ServerChosen tells that a server at or past the floor was chosen in term. sampled is the floor with the
// sample that the choice applied, zero if it is not known; a session of scope connection keeps it.
func (s *State) ServerChosen(term uint64, sampled position.Position) {
	s.markProven(term)
	if s.scope != manifest.ScopeConnection || sampled.IsZero() {
		return
	}
	s.floor = position.Max(s.floor, sampled)
	s.sampled = true
}

func (s *State) markProven(term uint64) {
	s.tokenUnproven = false
	s.checkedTerm = max(s.checkedTerm, term)
}

// NeedsFloorCheck reports whether the floor is to be checked against the history of term before a write
// in it.
func (s *State) NeedsFloorCheck(term uint64) bool {
	return !s.floor.IsZero() && s.floor.Term < term && s.checkedTerm < term
}

// WriteConfirmed raises the floor after a confirmed write.
func (s *State) WriteConfirmed(p position.Position) {
	if s.tokenUnproven && p.Less(s.floor) {
		s.provenFloor = position.Max(s.provenFloor, p)
		return
	}
	s.floor = position.Max(s.floor, p)
	s.markProven(p.Term)
}

// RejectToken drops a token that was refused as a floor and reports whether there was one.
func (s *State) RejectToken() bool {
	if !s.tokenUnproven {
		return false
	}
	s.tokenUnproven = false
	s.floor = s.provenFloor
	return true
}

// ReportLostWrite drops the floor and returns the notice of the lost write, which is given once.
func (s *State) ReportLostWrite() *outcome.Error {
	lost := s.floor
	s.floor = position.Position{}
	s.provenFloor = position.Position{}
	s.tokenUnproven = false
	s.sampled = false
	return outcome.New(outcome.LostWrite, outcome.CodeLostWrite,
		"a write of this session up to position "+lost.String()+" was lost in a failover",
		"check the last writes and repeat those that are missing; this statement did not run")
}
