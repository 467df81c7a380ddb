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
	// defaultIdleTimeout is the default of ClientConfig.IdleTimeout.
	defaultIdleTimeout = 30 * time.Second
	// defaultMaxIdleConnsPerPeer bounds the idle connections to one peer; calls in progress may use more.
	defaultMaxIdleConnsPerPeer = 8
)

// ClientConfig configures a Client.
type ClientConfig struct {
	TLS     *tls.Config // nil: plain TCP
	Traffic *Traffic    // nil: not counted
	Meter   *Meter      // nil: not counted
	// MaxIdleConnsPerPeer bounds the idle connections to one peer; 0 means a default for short calls.
	MaxIdleConnsPerPeer int
	// IdleTimeout is the time after which an idle connection is closed; 0 means the default, which is
	// longer than the heartbeat period, so that heartbeats don't open connections.
	IdleTimeout time.Duration
	// UserTimeout is the TCP user timeout of the sockets; 0 means tcp.CallTimeout.
	UserTimeout time.Duration
	// DialTimeout bounds the time to open a TCP connection; 0 means the deadline of the call. A call whose connection was not
	// opened in time fails with a *net.OpError of the operation "dial".
	DialTimeout time.Duration
	// Dial opens a TCP connection; nil uses tcp.Dialer with UserTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls other instances. A call uses an idle connection of the pool or opens one. A call that
// exceeds its deadline closes its connection, so a silent connection makes only one call fail.
// A Client is safe for concurrent use.
type Client struct {
	cfg  ClientConfig
	pool *drpcpool.Pool[poolKey, *drpcconn.Conn]

	mu          sync.Mutex
	generations map[string]uint64 // number of DiscardConns calls by address
}

// poolKey identifies the connections that calls to an address may use. DiscardConns increments the
// generation.
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

// Close closes the idle connections.
func (c *Client) Close() error {
	return errors.Wrap(c.pool.Close(), "close peer connections")
}

// Conn returns a drpc connection to a peer, for services other than Peer. It opens a connection
// only when a call needs one.
func (c *Client) Conn(ctx context.Context, address string) drpc.Conn {
	c.mu.Lock()
	key := poolKey{address, c.generations[address]}
	c.mu.Unlock()
	conn := c.pool.Get(ctx, key, c.dial)
	if c.cfg.Meter == nil {
		return conn
	}
	return meteredConn{conn, c.cfg.Meter}
}

// DiscardConns makes later calls to address use new connections only. It is used when a network path
// went silent, since this mostly affects all open connections; idle ones are closed by IdleTimeout.
func (c *Client) DiscardConns(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generations[address]++
}

// PeerClient returns a client of the Peer service of the instance at address. Every call needs a
// deadline in its context.
func (c *Client) PeerClient(ctx context.Context, address string) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(c.Conn(ctx, address))
}

// Gossip sends a digest. The first attempt may use an idle connection that the peer has closed or that
// went silent; it gets half of the time left. If it fails, Gossip retries once over a new connection,
// since the pool may still return the failed one, which is closed in the background.
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
		firstAttempt, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
		ctx = firstAttempt
	}
	return c.PeerClient(ctx, address).Gossip(ctx, in)
}

func (c *Client) dial(ctx context.Context, key poolKey) (*drpcconn.Conn, error) {
	address := key.address
	conn, err := c.dialTCP(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to peer %s; check that the instance is running and that its peer address is correct", address)
	}
	return drpcconn.New(conn), nil
}

func (c *Client) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	if c.cfg.DialTimeout > 0 {
		limited, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
		defer cancel()
		ctx = limited
	}
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
