package engine

import (
	"context"
	"net"
	"runtime"
	"sync"
)

// DefaultMaxHandshakes is half of the processors, so that the other half serves connected sessions while
// many callers reconnect.
func DefaultMaxHandshakes() int {
	return max(1, runtime.GOMAXPROCS(0)/2)
}

// DefaultMaxStartups lets a caller wait for a second or so before its handshake: 2.2 ms of processor time
// each on half of the processors are 227 handshakes a second per processor.
func DefaultMaxStartups() int {
	return 256 * runtime.GOMAXPROCS(0)
}

// handshakeGate bounds the TLS handshakes that compute at the same time. Waiting ones are served in the
// order of their arrival, those that have begun before new ones, so that work done is not wasted.
type handshakeGate struct {
	mu        sync.Mutex
	freeSlots int
	started   []chan struct{}
	unstarted []chan struct{}
}

// enter waits for a place. ctx is to end with the server only: a place that is granted later is lost.
func (g *handshakeGate) enter(ctx context.Context, begun bool) error {
	turn := g.join(begun)
	if turn == nil {
		return nil
	}
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join takes a free place and returns nil, or returns what is closed when a place is granted.
func (g *handshakeGate) join(begun bool) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.freeSlots > 0 {
		g.freeSlots--
		return nil
	}
	turn := make(chan struct{})
	if begun {
		g.started = append(g.started, turn)
	} else {
		g.unstarted = append(g.unstarted, turn)
	}
	return turn
}

// leave gives a place to the next one that waits.
func (g *handshakeGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	queue := &g.started
	if len(*queue) == 0 {
		queue = &g.unstarted
	}
	if len(*queue) == 0 {
		g.freeSlots++
		return
	}
	close((*queue)[0])
	*queue = (*queue)[1:]
}

// gatedConn holds a place of the gate while its handshake computes and none while it waits for the
// caller's bytes, so that slow callers hold up nobody. Its writes don't wait: a handshake writes a few
// kilobytes, which fit into the socket's buffer. It is used by one goroutine.
type gatedConn struct {
	net.Conn
	gate     *handshakeGate
	ctx      context.Context // of the server
	started  bool
	hasSlot  bool
	finished bool // the handshake is over
}

// Read implements net.Conn.
func (c *gatedConn) Read(b []byte) (int, error) {
	if c.finished {
		return c.Conn.Read(b)
	}
	c.release()
	n, err := c.Conn.Read(b)
	if err != nil {
		return n, err
	}
	if err := c.gate.enter(c.ctx, c.started); err != nil {
		return 0, err
	}
	c.started, c.hasSlot = true, true
	return n, nil
}

// finish ends the part of the gate in the connection.
func (c *gatedConn) finish() {
	c.release()
	c.finished = true
}

func (c *gatedConn) release() {
	if c.hasSlot {
		c.hasSlot = false
		c.gate.leave()
	}
}
