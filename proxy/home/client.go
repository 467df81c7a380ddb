package home

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/home/homepb"
)

// Limits of the connections between instances. A drpc connection carries one stream at a time.
const (
	idlePerPeer     = 64
	idleLifetime    = time.Minute
	dialTimeout     = time.Second
	grantAllowance  = time.Second // on top of the queue timeout, for the way there and back
	peerKeepAlive   = time.Second
	peerUserTimeout = 3 * time.Second
)

// Client checks connections out of home instances.
type Client struct {
	tls  *tls.Config // nil for plain TCP
	pool *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewClient returns a client. With a TLS configuration it connects over TLS.
func NewClient(config *tls.Config) *Client {
	return &Client{
		tls: config,
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			KeyCapacity: idlePerPeer,
			Expiration:  idleLifetime,
		}),
	}
}

// Close closes the idle connections.
func (c *Client) Close() error {
	return c.pool.Close()
}

// Acquire checks a connection out of the home at address. Every failure is "not run": nothing of
// a statement has been sent.
func (c *Client) Acquire(ctx context.Context, address string, r engine.AcquireRequest) (engine.Conn, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stream, err := homepb.NewDRPCHomesClient(c.pool.Get(ctx, address, c.dial)).Checkout(streamCtx)
	if err != nil {
		cancel()
		return nil, homeUnreachable(r, err)
	}
	conn := newRemoteConn(stream, cancel)
	stop := context.AfterFunc(ctx, cancel)
	err = conn.open(r)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err == nil {
		return conn, nil
	}
	cancel()
	if outcome.As(err) != nil {
		return nil, err
	}
	return nil, homeUnreachable(r, err)
}

func (c *Client) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: peerKeepAlive, Interval: peerKeepAlive, Count: int(peerUserTimeout / peerKeepAlive),
	}}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.tls != nil {
		conn = tls.Client(conn, c.tls)
	}
	return drpcconn.New(conn), nil
}

func homeUnreachable(r engine.AcquireRequest, err error) *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeConnectionFailure,
		"the instance that holds the connections of server "+string(r.Target.Server)+" does not answer: "+err.Error(),
		"retry; another instance takes over within seconds").WithRetryAfter(100 * time.Millisecond)
}
