package engine

import (
	"context"
	"net"
	"runtime"
	"sync"
)

// DefaultMaxHandshakes is half of the processors. The other half serves connected sessions while many
// callers reconnect.
func DefaultMaxHandshakes() int {
	return max(1, runtime.GOMAXPROCS(0)/2)
}

// DefaultMaxStartups lets a caller wait for about a second before its handshake: at 2.2 ms of processor
// time each, half of the processors complete 227 handshakes a second per processor.
func DefaultMaxStartups() int {
	return 256 * runtime.GOMAXPROCS(0)
}

// handshakeGate limits the TLS handshakes that use the processor at the same time. Waiting handshakes get
// a slot in the order of their arrival, started ones before new ones, so that work done is not wasted.
type handshakeGate struct {
	mu        sync.Mutex
	freeSlots int
	started   []chan struct{}
	unstarted []chan struct{}
}

// enter waits for a slot. ctx must not end before the server does: a slot granted afterwards is lost.
func (g *handshakeGate) enter(ctx context.Context, started bool) error {
	granted := g.join(started)
	if granted == nil {
		return nil
	}
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join takes a free slot and returns nil, or returns a channel that is closed when a slot is granted.
func (g *handshakeGate) join(started bool) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.freeSlots > 0 {
		g.freeSlots--
		return nil
	}
	granted := make(chan struct{})
	if started {
		g.started = append(g.started, granted)
	} else {
		g.unstarted = append(g.unstarted, granted)
	}
	return granted
}

// leave passes the slot to the next waiting handshake.
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

// gatedConn holds a slot of the gate while its handshake uses the processor, but not while it waits for the
// caller's data, so that slow callers don't delay others. Its writes don't wait for a slot: a handshake
// writes a few kilobytes, which fit into the socket's buffer. It is used by one goroutine.
type gatedConn struct {
	net.Conn
	gate     *handshakeGate
	ctx      context.Context // ends with the server
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

// finish releases the slot; later reads bypass the gate.
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
