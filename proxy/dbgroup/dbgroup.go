// Package dbgroup is the client for the servers of a database group: it probes, fences and promotes
// them over the PostgreSQL protocol.
package dbgroup

import (
	"context"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// Server is the control interface of one server of a database group. All calls are idempotent
// for the same arguments; a call that fails may have taken effect.
type Server interface {
	// Probe returns the server's current state.
	Probe(ctx context.Context) (authority.ServerState, error)
	// Fence makes the server refuse writes and replicated log of terms below term, on behalf of owner.
	// It fails if the server has already accepted this term for another owner, or a higher term.
	Fence(ctx context.Context, term uint64, owner string) (authority.ServerState, error)
	// Promote makes the server the primary of term. It fails unless the server is fenced at
	// exactly (term, owner).
	Promote(ctx context.Context, term uint64, owner string) (authority.ServerState, error)
}
