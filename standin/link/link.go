// Package link relays TCP connections and simulates a network path that loses the state of open
// connections, such as a restarted firewall: data sent on them is lost, their close is not noticed, and
// new connections work.
package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is a direction of traffic, seen from the process that connects.
type Direction int

// The directions of a connection.
const (
	Requests Direction = iota
	Responses
	directionCount
)

// fault is the fault of one direction of a connection.
type fault int32

const (
	faultNone    fault = iota
	faultDiscard       // data is read and discarded
	faultStall         // data is not read
)

// Link relays TCP connections to one address.
type Link struct {
	target   string
	delay    time.Duration // in each direction
	listener net.Listener

	mu     sync.Mutex
	conns  map[*relayedConn]struct{}
	closed chan struct{}
}

// relayedConn is one relayed connection.
type relayedConn struct {
	sources [directionCount]net.Conn // the connection that each direction reads from
	faults  [directionCount]atomic.Int32
}

// Start relays connections to the target IP:port.
func Start(target string) (*Link, error) {
	return StartDelayed(target, 0)
}

// StartDelayed relays connections to the target IP:port with a delay in each direction.
func StartDelayed(target string, oneWay time.Duration) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, delay: oneWay, listener: listener, conns: make(map[*relayedConn]struct{}), closed: make(chan struct{})}
	go l.accept()
	return l, nil
}

// Address returns the IP:port to connect to.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Close closes the listener and all connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return
	default:
	}
	close(l.closed)
	_ = l.listener.Close()
	for conn := range l.conns {
		conn.close()
	}
}

// Silence discards the data of the open connections in the given directions, by default both.
func (l *Link) Silence(directions ...Direction) { l.setFault(faultDiscard, directions) }

// Stall stops reading from the open connections in the given directions, by default both.
func (l *Link) Stall(directions ...Direction) { l.setFault(faultStall, directions) }

func (l *Link) setFault(f fault, affected []Direction) {
	if len(affected) == 0 {
		affected = []Direction{Requests, Responses}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		for _, d := range affected {
			conn.faults[d].Store(int32(f))
		}
	}
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		conn := &relayedConn{sources: [directionCount]net.Conn{Requests: client, Responses: server}}
		if !l.add(conn) {
			conn.close()
			return
		}
		go l.forward(conn, Requests)
		go l.forward(conn, Responses)
	}
}

func (l *Link) add(conn *relayedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return false
	default:
	}
	l.conns[conn] = struct{}{}
	return true
}

const bufferBytes = 4 << 10

// forward copies the data of one direction until either side closes. A direction with a fault doesn't
// propagate the close.
func (l *Link) forward(conn *relayedConn, d Direction) {
	from, to := conn.sources[d], conn.sources[directionCount-1-d]
	send := to.Write
	if l.delay > 0 {
		writer := newDelayedWriter(to, l.delay)
		defer close(writer.pending)
		send = writer.Write
	}
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		switch fault(conn.faults[d].Load()) {
		case faultNone:
			if err == nil {
				_, err = send(buf[:n])
			}
			if err != nil {
				conn.close()
				l.remove(conn)
				return
			}
		case faultStall:
			<-l.closed
			return
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) remove(conn *relayedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

func (c *relayedConn) close() {
	for _, end := range c.sources {
		_ = end.Close()
	}
}

// maxPendingWrites limits the delayed writes of one direction.
const maxPendingWrites = 1 << 12

// delayedWriter passes writes on to a connection after a delay.
type delayedWriter struct {
	to      net.Conn
	delay   time.Duration
	pending chan pendingWrite
}

type pendingWrite struct {
	data []byte
	due  time.Time
}

func newDelayedWriter(to net.Conn, delay time.Duration) *delayedWriter {
	d := &delayedWriter{to: to, delay: delay, pending: make(chan pendingWrite, maxPendingWrites)}
	go d.run()
	return d
}

// Write queues a copy of data, which is written after the delay.
func (d *delayedWriter) Write(data []byte) (int, error) {
	d.pending <- pendingWrite{append([]byte(nil), data...), time.Now().Add(d.delay)}
	return len(data), nil
}

func (d *delayedWriter) run() {
	for write := range d.pending {
		time.Sleep(time.Until(write.due))
		if _, err := d.to.Write(write.data); err != nil {
			_ = d.to.Close()
		}
	}
}
