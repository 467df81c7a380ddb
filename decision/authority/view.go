package authority

import (
	"slices"
	"time"
)

// ServerView is one server as this instance sees it.
type ServerView struct {
	ID      ServerID
	Leaving bool
	// Known is false until the first answer; until then the fields from State to Received are unset.
	Known    bool
	State    ServerState
	Seq      Seq
	Sent     time.Duration
	Received time.Duration
	// Failures counts consecutive failed probes over fresh connections, Refused those of them
	// that ended in a refused connection. FailingSince is when the first failed probe was sent.
	Failing      bool
	FailingSince time.Duration
	Failures     int
	Refused      int
}

// View is a database group as this instance sees it.
type View struct {
	Servers []ServerView
	// Term is the highest term seen on any server.
	Term uint64
	// Primary is the server that reports being the primary of Term and was not seen fenced; empty if none does.
	Primary ServerID
	// PrimarySince is when Primary was first seen in Term.
	PrimarySince time.Duration
	// TermChanged is set once this instance has seen Term replace an older term.
	TermChanged bool
}

// NewView returns the view of a group before any answer.
func NewView(servers []ServerID) View {
	v := View{Servers: make([]ServerView, len(servers))}
	for i, id := range servers {
		v.Servers[i].ID = id
	}
	return v
}

// Majority returns the smallest number of servers that form a majority of n.
func Majority(n int) int {
	return n/2 + 1
}

// Server returns the view of one server, or nil if it is not a member of the group.
func (v *View) Server(id ServerID) *ServerView {
	for i := range v.Servers {
		if v.Servers[i].ID == id {
			return &v.Servers[i]
		}
	}
	return nil
}

// PrimaryView returns the view of the current primary, or nil.
func (v *View) PrimaryView() *ServerView {
	if v.Primary == "" {
		return nil
	}
	return v.Server(v.Primary)
}

// Clone returns a copy that shares no memory that a Machine modifies.
func (v *View) Clone() View {
	c := *v
	c.Servers = slices.Clone(v.Servers)
	return c
}

// Reachable reports whether the server's last probe was answered and was sent within window.
func (s *ServerView) Reachable(now, window time.Duration) bool {
	return s.Known && !s.Failing && now-s.Sent <= window
}

// contactAge returns the time since a replica last had contact with its primary.
func (s *ServerView) contactAge(now time.Duration) time.Duration {
	return now - s.Received + s.State.PrimaryContactAge
}

// observe records a server's state unless the answer to a later probe is known already.
func (v *View) observe(now, sent time.Duration, seq Seq, state ServerState) {
	s := v.Server(state.Server)
	if s == nil {
		return
	}
	s.Failing, s.Failures, s.Refused = false, 0, 0
	if s.Known && seq < s.Seq {
		return
	}
	s.Known, s.State, s.Seq = true, state, seq
	s.Sent, s.Received = sent, now
	v.updateTermAndPrimary(now)
}

// recordFailure records a failed probe.
func (v *View) recordFailure(f ProbeFailure) {
	s := v.Server(f.Server)
	if s == nil || (s.Known && f.Seq < s.Seq) {
		return
	}
	if !s.Failing {
		s.Failing, s.FailingSince = true, f.Sent
	}
	s.FailingSince = min(s.FailingSince, f.Sent)
	if !f.Fresh {
		return
	}
	s.Failures++
	if f.Class == FailureRefused {
		s.Refused++
	}
}

// updateTermAndPrimary recomputes the highest term and its primary.
func (v *View) updateTermAndPrimary(now time.Duration) {
	for i := range v.Servers {
		v.raiseTerm(v.Servers[i].State.Term)
	}
	primary := v.findPrimary()
	if primary != "" && primary != v.Primary {
		v.PrimarySince = now
	}
	v.Primary = primary
}

func (v *View) raiseTerm(term uint64) {
	if term <= v.Term {
		return
	}
	v.TermChanged = v.Term > 0
	v.Term = term
	v.Primary = ""
}

// findPrimary returns the server that reports being the primary of the highest term. It returns none
// once a majority is fenced above that term, because the primary can then get no write confirmed.
func (v *View) findPrimary() ServerID {
	if len(v.Servers)-v.fencedAbove(v.Term) < Majority(len(v.Servers)) {
		return ""
	}
	for i := range v.Servers {
		s := &v.Servers[i]
		if s.Known && s.State.Role == RolePrimary && s.State.Term == v.Term && !s.State.Fenced() {
			return s.ID
		}
	}
	return ""
}

// highestFence returns the highest fence seen and a server that shows it.
func (v *View) highestFence() (uint64, *ServerView) {
	var fence uint64
	var holder *ServerView
	for i := range v.Servers {
		if f := v.Servers[i].State.FenceTerm; f > fence {
			fence, holder = f, &v.Servers[i]
		}
	}
	return fence, holder
}

// fencedAbove returns the number of servers that show a fence above term.
func (v *View) fencedAbove(term uint64) int {
	n := 0
	for i := range v.Servers {
		if v.Servers[i].State.FenceTerm > term {
			n++
		}
	}
	return n
}
