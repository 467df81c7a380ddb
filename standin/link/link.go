// Package link stands in for a network path that loses track of open connections, as a firewall that
// was restarted: what is sent on them arrives nowhere, their end is not noticed, and new connections
// work.
package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction of traffic, seen from the process that connects.
type Direction int

// Directions.
const (
	Requests Direction = iota
	Responses
	directionCount
)

// fault of one direction of a connection.
type fault int32

const (
	faultNone    fault = iota
	faultDiscard       // bytes are taken and dropped
	faultStall         // bytes are not taken
)

// Link relays TCP connections to one address.
type Link struct {
	target   string
	delay    time.Duration // one way
	listener net.Listener

	mu     sync.Mutex
	conns  map[*relayedConn]struct{}
	closed chan struct{}
}

// relayedConn is one relayed connection.
type relayedConn struct {
	sources [directionCount]net.Conn // from which each direction reads
	faults  [directionCount]atomic.Int32
}

// Start relays connections to the given IP:port.
func Start(to string) (*Link, error) {
	return StartDelayed(to, 0)
}

// StartDelayed relays connections to the given IP:port with a delay in each direction.
func StartDelayed(to string, oneWay time.Duration) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{target: to, delay: oneWay, listener: listener, conns: make(map[*relayedConn]struct{}), closed: make(chan struct{})}
	go l.accept()
	return l, nil
}

// Address returns the IP:port to connect to.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Close ends the link and its connections.
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
	for p := range l.conns {
		p.close()
	}
}

// Silence swallows the given directions of the open connections, or both without any.
func (l *Link) Silence(d ...Direction) { l.setFault(faultDiscard, d) }

// Stall takes no more bytes in the given directions of the open connections, or both without any.
func (l *Link) Stall(d ...Direction) { l.setFault(faultStall, d) }

func (l *Link) setFault(f fault, list []Direction) {
	if len(list) == 0 {
		list = []Direction{Requests, Responses}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		for _, d := range list {
			p.faults[d].Store(int32(f))
		}
	}
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &relayedConn{sources: [directionCount]net.Conn{Requests: near, Responses: far}}
		if !l.add(p) {
			p.close()
			return
		}
		go l.forward(p, Requests)
		go l.forward(p, Responses)
	}
}

func (l *Link) add(p *relayedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return false
	default:
	}
	l.conns[p] = struct{}{}
	return true
}

const bufferBytes = 4 << 10

// forward copies one direction until an end closes. A faulty direction keeps the end to itself.
func (l *Link) forward(p *relayedConn, d Direction) {
	from, to := p.sources[d], p.sources[directionCount-1-d]
	send := to.Write
	if l.delay > 0 {
		late := newDelayedWriter(to, l.delay)
		defer close(late.pending)
		send = late.Write
	}
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		switch fault(p.faults[d].Load()) {
		case faultNone:
			if err == nil {
				_, err = send(buf[:n])
			}
			if err != nil {
				p.close()
				l.remove(p)
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

func (l *Link) remove(p *relayedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, p)
}

func (p *relayedConn) close() {
	for _, end := range p.sources {
		_ = end.Close()
	}
}

// maxPendingWrites bounds what a delayed direction holds.
const maxPendingWrites = 1 << 12

// delayedWriter writes later.
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

// Write takes data that is written after the delay.
func (d *delayedWriter) Write(data []byte) (int, error) {
	d.pending <- pendingWrite{append([]byte(nil), data...), time.Now().Add(d.delay)}
	return len(data), nil
}

func (d *delayedWriter) run() {
	for p := range d.pending {
		time.Sleep(time.Until(p.due))
		if _, err := d.to.Write(p.data); err != nil {
			_ = d.to.Close()
		}
	}
}
