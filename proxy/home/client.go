package home

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/home/homepb"
)

// grantAllowance is added to the queue timeout for the way to the home and back.
const grantAllowance = time.Second

// Conns gives drpc connections to instances by peer address. A drpc connection carries one stream
// at a time, so it should keep as many idle ones as statements are under way.
type Conns interface {
	Conn(ctx context.Context, address string) drpc.Conn
	// Renew makes later calls to address use new connections only.
	Renew(address string)
}

// connectTimeout bounds a new connection to a home. It is far above the round trip between regions.
const connectTimeout = time.Second

// Client checks connections out of home instances.
type Client struct {
	conns   Conns
	period  time.Duration // between Alive messages
	streams streamPool
}

// NewClient returns a client that reaches the other instances through conns.
func NewClient(conns Conns) *Client {
	return &Client{conns: conns, period: alivePeriod}
}

// Acquire checks a connection out of the home at address. With r.Deferred it only connects to the
// home, and the connection's first use may be refused. Every failure is "not run": nothing of a
// statement has been sent.
func (c *Client) Acquire(ctx context.Context, address string, r engine.AcquireRequest) (engine.Conn, error) {
	return c.acquire(ctx, address, r, func() {})
}

// acquire also tells onFailure if the home turns out later not to answer or to be leaving.
func (c *Client) acquire(ctx context.Context, address string, r engine.AcquireRequest, onFailure func()) (engine.Conn, error) {
	if !r.Deferred {
		return c.acquireAndWait(ctx, address, r)
	}
	if err := ctx.Err(); err != nil {
		return nil, homeUnreachable(r, err)
	}
	l := c.streams.get(address)
	if l == nil {
		opened, err := c.openStream(ctx, address)
		if err != nil {
			return nil, homeUnreachable(r, err)
		}
		l = opened
	}
	conn := c.newConn(l, r)
	conn.onHomeFailure = onFailure
	return conn, nil
}

// acquireAndWait waits for the grant.
func (c *Client) acquireAndWait(ctx context.Context, address string, r engine.AcquireRequest) (engine.Conn, error) {
	l, err := c.openStream(ctx, address)
	if err != nil {
		return nil, homeUnreachable(r, err)
	}
	conn := c.newConn(l, r)
	stop := context.AfterFunc(ctx, l.cancel)
	err = conn.openAndWait()
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err == nil {
		return conn, nil
	}
	conn.abandon()
	return nil, acquireError(r, err)
}

func (c *Client) newConn(l *reusableStream, r engine.AcquireRequest) *remoteConn {
	conn := newRemoteConn(l, r, c.period)
	conn.onStreamFree = c.streams.put
	conn.onSilent = c.renew
	return conn
}

// renew makes later requests to the home at address use new connections.
func (c *Client) renew(address string) {
	c.conns.Renew(address)
	c.streams.drop(address)
}

// openStream opens a stream that outlives ctx.
func (c *Client) openStream(ctx context.Context, address string) (*reusableStream, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	stream, err := c.connect(streamCtx, cancel, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return &reusableStream{address: address, stream: stream, cancel: cancel}, nil
}

// acquireError tells a refusal of the home from a home that leaves or does not answer.
func acquireError(r engine.AcquireRequest, err error) error {
	var refused *engine.RefusedError
	switch {
	case !errors.As(err, &refused):
		return homeUnreachable(r, err)
	case refused.HomeMoved:
		return &unreachableError{refused.Outcome}
	}
	return refused.Outcome
}

// connect opens the stream. A home whose address swallows packets would hold the statement up for the
// operating system's connect timeout otherwise.
func (c *Client) connect(ctx context.Context, cancel context.CancelFunc, address string) (homepb.DRPCHomes_CheckoutClient, error) {
	timer := time.AfterFunc(connectTimeout, cancel)
	defer timer.Stop()
	return homepb.NewDRPCHomesClient(c.conns.Conn(ctx, address)).Checkout(ctx)
}

// unreachableError tells the router that another instance should be tried.
type unreachableError struct {
	outcome *outcome.Error
}

// Error implements error.
func (e *unreachableError) Error() string {
	return e.outcome.Error()
}

// Unwrap gives the outcome that the caller is told.
func (e *unreachableError) Unwrap() error {
	return e.outcome
}

func homeUnreachable(r engine.AcquireRequest, err error) error {
	return &unreachableError{outcome.New(outcome.NotRun, outcome.CodeConnectionFailure,
		"the instance that holds the connections of server "+string(r.Target.Server)+" does not answer: "+err.Error(),
		"retry; another instance takes over within seconds").WithRetryAfter(100 * time.Millisecond)}
}
