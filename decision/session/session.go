package session

import (
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// State is the state of one session, created by New. It is not safe for concurrent use.
type State struct {
	database      string
	scope         manifest.SessionScope
	floor         position.Position
	sampled       bool              // the floor includes a sampled position, or the client sent a token
	tokenUnproven bool              // the floor comes from a token that no server has accepted yet
	provenFloor   position.Position // tokenUnproven: the floor if the token is rejected
	checkedTerm   uint64            // highest term whose history is known to contain the floor
}

// New returns the state of a session without writes.
func New(database string, scope manifest.SessionScope) State {
	return State{database: database, scope: scope}
}

// ReadRequirement is what the answer to a read has to include.
type ReadRequirement struct {
	Floor  position.Position
	Sample bool // raise the floor to a position sampled after the read arrived
}

// ReadRequirement returns the requirement of the next read.
func (s *State) ReadRequirement() ReadRequirement {
	return ReadRequirement{Floor: s.floor, Sample: !s.sampled}
}

// Token returns the floor as a token for the client, or an empty string if there is no floor.
func (s *State) Token() string {
	if s.floor.IsZero() {
		return ""
	}
	return FormatToken(s.database, s.floor)
}

// AcceptToken raises the floor to the position in the client's token. An empty token is ignored. The
// error is an *outcome.Error of kind Invalid.
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

// ServerChosen records that a server at or past the floor was chosen in term. sampled is the floor
// including the sampled position that the choice used, or zero if unknown; a session of scope
// connection keeps it as its floor.
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

// NeedsFloorCheck reports whether the floor has to be checked against the history of term before a
// write in that term.
func (s *State) NeedsFloorCheck(term uint64) bool {
	return !s.floor.IsZero() && s.floor.Term < term && s.checkedTerm < term
}

// WriteConfirmed raises the floor to the position of a confirmed write.
func (s *State) WriteConfirmed(p position.Position) {
	if s.tokenUnproven && p.Less(s.floor) {
		s.provenFloor = position.Max(s.provenFloor, p)
		return
	}
	s.floor = position.Max(s.floor, p)
	s.markProven(p.Term)
}

// RejectToken restores the floor from before an unproven token and reports whether there was one.
func (s *State) RejectToken() bool {
	if !s.tokenUnproven {
		return false
	}
	s.tokenUnproven = false
	s.floor = s.provenFloor
	return true
}

// ReportLostWrite resets the floor, so that the loss is reported only once, and returns the error
// for the client.
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
