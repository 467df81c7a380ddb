// Package authority decides which server of a database group is its primary, when to fence and
// promote, and when a write is confirmed.
package authority

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// ServerID names one server of a database group, as the manifest does.
type ServerID string

// Role is what a server says it is.
type Role string

const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced" // has accepted a fence and follows no primary yet
)

// ServerState is what one probe of a server returned.
type ServerState struct {
	Server      ServerID
	Incarnation uint64 // changes when the server restarts or rewinds its log; its connections are then gone
	Role        Role
	Term        uint64 // newest term in the server's log
	FenceTerm   uint64 // highest fence accepted, 0 if none
	FenceOwner  string // instance that placed the fence
	LSN         uint64 // last applied log position
	History     position.History
	// PrimaryContactAge is how long ago a replica last heard from its primary; 0 on a primary.
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
