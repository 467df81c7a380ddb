package authority

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// ServerID is the name of a server of a database group in the manifest.
type ServerID string

// Role is the role that a server reports.
type Role string

const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced" // has accepted a fence and follows no primary yet
)

// ServerState is the state of a server as returned by a probe.
type ServerState struct {
	Server      ServerID
	Incarnation uint64 // changes when the server restarts or rewinds its log; its connections are then gone
	Role        Role
	Term        uint64 // newest term in the server's log
	FenceTerm   uint64 // highest fence accepted, 0 if none
	FenceOwner  string // instance that placed the fence
	LSN         uint64 // last applied log position
	History     position.History
	// PrimaryContactAge is the time since a replica last had contact with its primary; 0 on a primary.
	PrimaryContactAge time.Duration
}

// Position returns the server's applied position.
func (s ServerState) Position() position.Position {
	return position.Position{Term: s.Term, LSN: s.LSN}
}

// Fenced reports whether the server has accepted a fence above its own term.
func (s ServerState) Fenced() bool {
	return s.FenceTerm > s.Term
}
