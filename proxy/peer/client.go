package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
	"github.com/cyclamenstile/cyclamenstile/proxy/tcp"
)

const (
	// defaultIdleTimeout is that of ClientConfig.
	defaultIdleTimeout = 30 * time.Second
	// defaultMaxIdleConnsPerPeer bounds the idle connections to one peer; calls in progress may use more.
	defaultMaxIdleConnsPerPeer = 8
)

// ClientConfig configures a Client.
type ClientConfig struct {
	TLS     *tls.Config // nil: plain TCP
	Traffic *Traffic    // nil: not counted
	// MaxIdleConnsPerPeer bounds the idle connections to one peer; 0 keeps a few, which suits short calls.
	MaxIdleConnsPerPeer int
	// IdleTimeout closes kept connections that no call has used; 0 takes the default, which exceeds the
	// heartbeat period, so that heartbeats don't open connections.
	IdleTimeout time.Duration
	// UserTimeout is that of the sockets; 0 stands for tcp.CallTimeout.
	UserTimeout time.Duration
	// Dial opens a TCP connection; nil uses tcp.Dialer with UserTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls other instances. A call uses a kept idle connection or opens one. A call that
// passes its deadline closes its connection, so a silent connection serves one failed call only.
// A Client is safe for concurrent use.
type Client struct {
	cfg  ClientConfig
	pool *drpcpool.Pool[poolKey, *drpcconn.Conn]

	mu          sync.Mutex
	generations map[string]uint64 // calls of Renew by address
}

// poolKey names the connections that calls to an address may use.
type poolKey struct {
	address    string
	generation uint64
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	options := drpcpool.Options{Expiration: cmp.Or(cfg.IdleTimeout, defaultIdleTimeout), KeyCapacity: cmp.Or(cfg.MaxIdleConnsPerPeer, defaultMaxIdleConnsPerPeer)}
	if cfg.Dial == nil {
		cfg.Dial = tcp.Dialer(cmp.Or(cfg.UserTimeout, tcp.CallTimeout)).DialContext
	}
	return &Client{cfg: cfg, generations: make(map[string]uint64), pool: drpcpool.New[poolKey, *drpcconn.Conn](options)}
}

// Close closes the kept connections.
func (c *Client) Close() error {
	return errors.Wrap(c.pool.Close(), "close peer connections")
}

// Conn returns a drpc connection to a peer, for services other than Peer. It opens a connection
// only when a call needs one.
func (c *Client) Conn(ctx context.Context, address string) drpc.Conn {
	c.mu.Lock()
	key := poolKey{address, c.generations[address]}
	c.mu.Unlock()
	return c.pool.Get(ctx, key, c.dial)
}

// DiscardConns makes later calls to address use new connections only. It is for a path that went silent,
// which mostly concerns all connections that were open; the kept ones expire unused.
func (c *Client) DiscardConns(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generations[address]++
}

// PeerClient returns the Peer service of the instance at address. Every call needs a deadline in its
// context.
func (c *Client) PeerClient(ctx context.Context, address string) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(c.Conn(ctx, address))
}

// Gossip sends a digest. When the first attempt, which may have used a kept connection that the peer
// has closed or that went silent, fails within half of the time left, it tries a second time over a
// new connection: the pool may still offer the failed one, which is closed in the background.
func (c *Client) Gossip(ctx context.Context, address string, in *peerpb.Digest) (*peerpb.Digest, error) {
	out, err := c.gossipOnce(ctx, address, in)
	if err == nil || ctx.Err() != nil {
		return out, err
	}
	c.DiscardConns(address)
	return c.PeerClient(ctx, address).Gossip(ctx, in)
}

func (c *Client) gossipOnce(ctx context.Context, address string, in *peerpb.Digest) (*peerpb.Digest, error) {
	if deadline, ok := ctx.Deadline(); ok {
		half, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
		ctx = half
	}
	return c.PeerClient(ctx, address).Gossip(ctx, in)
}

func (c *Client) dial(ctx context.Context, key poolKey) (*drpcconn.Conn, error) {
	address := key.address
	conn, err := c.dialTCP(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to peer %s; check that the instance runs and its peer address is right", address)
	}
	return drpcconn.New(conn), nil
}

func (c *Client) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.cfg.Traffic != nil {
		conn = countingConn{conn, c.cfg.Traffic}
	}
	if c.cfg.TLS == nil {
		return conn, nil
	}
	return c.handshake(ctx, conn, address)
}

func (c *Client) handshake(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
	cfg := c.cfg.TLS.Clone()
	if cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(address)
	}
	secure := tls.Client(conn, cfg)
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	return secure, nil
}
