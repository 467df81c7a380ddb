package home

import (
	"context"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// Locator tells which instance is home to a server.
type Locator interface {
	// Home returns the peer address of the server's home, or self for this instance.
	Home(server authority.ServerID) (peerAddress string, self bool)
}

// Router implements engine.Pool: it takes connections from the local pool where this instance is
// home, and from the home instance otherwise.
type Router struct {
	Locator Locator
	Local   engine.Pool
	Remote  *Client
}

// Acquire implements engine.Pool.
func (r *Router) Acquire(ctx context.Context, req engine.AcquireRequest) (engine.Conn, error) {
	address, self := r.Locator.Home(req.Target.Server)
	if self {
		return r.Local.Acquire(ctx, req)
	}
	return r.Remote.Acquire(ctx, address, req)
}
