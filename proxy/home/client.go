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

// grantAllowance is added to the queue timeout for the round trip to the home.
const grantAllowance = time.Second

// Conns provides drpc connections to instances by peer address. A drpc connection carries one stream
// at a time, so an implementation should keep as many idle connections as there are concurrent
// statements.
type Conns interface {
	Conn(ctx context.Context, address string) drpc.Conn
	// DiscardConns makes later calls to address use new connections instead of pooled ones.
	DiscardConns(address string)
}

// connectTimeout bounds a new connection to a home. It is far longer than a round trip between regions.
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
// home, and the home may refuse the connection at its first use. Every error of Acquire has outcome
// "not run", because no part of a statement has been sent.
func (c *Client) Acquire(ctx context.Context, address string, r engine.AcquireRequest) (engine.Conn, error) {
	return c.acquire(ctx, address, r, func() {})
}

// acquire is Acquire with a callback for failures after it has returned: onFailure is called if the
// home does not answer or is leaving.
func (c *Client) acquire(ctx context.Context, address string, r engine.AcquireRequest, onFailure func()) (engine.Conn, error) {
	if !r.Deferred {
		return c.acquireAndWait(ctx, address, r)
	}
	if err := ctx.Err(); err != nil {
		return nil, homeUnreachable(r, err)
	}
	stream := c.streams.get(address)
	if stream == nil {
		opened, err := c.openStream(ctx, address)
		if err != nil {
			return nil, homeUnreachable(r, err)
		}
		stream = opened
	}
	conn := c.newConn(stream, r)
	conn.onHomeFailure = onFailure
	return conn, nil
}

// acquireAndWait opens a stream and waits until the home grants a connection.
func (c *Client) acquireAndWait(ctx context.Context, address string, r engine.AcquireRequest) (engine.Conn, error) {
	stream, err := c.openStream(ctx, address)
	if err != nil {
		return nil, homeUnreachable(r, err)
	}
	conn := c.newConn(stream, r)
	stop := context.AfterFunc(ctx, stream.cancel)
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

func (c *Client) newConn(stream *reusableStream, r engine.AcquireRequest) *remoteConn {
	conn := newRemoteConn(stream, r, c.period)
	conn.onStreamFree = c.streams.put
	conn.onSilent = c.discardConns
	return conn
}

// discardConns makes later requests to the home at address use new connections and streams.
func (c *Client) discardConns(address string) {
	c.conns.DiscardConns(address)
	c.streams.drop(address)
}

// openStream opens a stream. ctx bounds only the opening; the stream outlives it.
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

// acquireError distinguishes a refusal by the home's queue from a home that is leaving or does not
// answer.
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

// connect opens the stream within connectTimeout. Without that bound, packet loss on the path to the
// home would delay the statement for the operating system's connect timeout.
func (c *Client) connect(ctx context.Context, cancel context.CancelFunc, address string) (homepb.DRPCHomes_CheckoutClient, error) {
	timer := time.AfterFunc(connectTimeout, cancel)
	defer timer.Stop()
	return homepb.NewDRPCHomesClient(c.conns.Conn(ctx, address)).Checkout(ctx)
}

// unreachableError makes the router try another instance.
type unreachableError struct {
	outcome *outcome.Error
}

// Error implements error.
func (e *unreachableError) Error() string {
	return e.outcome.Error()
}

// Unwrap returns the outcome that is reported to the caller.
func (e *unreachableError) Unwrap() error {
	return e.outcome
}

func homeUnreachable(r engine.AcquireRequest, err error) error {
	return &unreachableError{outcome.New(outcome.NotRun, outcome.CodeConnectionFailure,
		"the instance that holds the connections of server "+string(r.Target.Server)+" does not answer: "+err.Error(),
		"retry; another instance takes over within seconds").WithRetryAfter(100 * time.Millisecond)}
}
