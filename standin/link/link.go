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
	Answers
	directions
)

// fault of one direction of a connection.
type fault int32

const (
	none    fault = iota
	swallow       // bytes are taken and dropped
	stall         // bytes are not taken
)

// Link relays TCP connections to one address.
type Link struct {
	to       string
	delay    time.Duration // one way
	listener net.Listener

	mu     sync.Mutex
	paths  map[*path]struct{}
	closed chan struct{}
}

// path is one relayed connection.
type path struct {
	ends   [directions]net.Conn // from which each direction reads
	faults [directions]atomic.Int32
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
	l := &Link{to: to, delay: oneWay, listener: listener, paths: make(map[*path]struct{}), closed: make(chan struct{})}
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
	for p := range l.paths {
		p.close()
	}
}

// Silence swallows the given directions of the open connections, or both without any.
func (l *Link) Silence(d ...Direction) { l.fail(swallow, d) }

// Stall takes no more bytes in the given directions of the open connections, or both without any.
func (l *Link) Stall(d ...Direction) { l.fail(stall, d) }

func (l *Link) fail(f fault, list []Direction) {
	if len(list) == 0 {
		list = []Direction{Requests, Answers}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.paths {
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
		far, err := net.Dial("tcp", l.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &path{ends: [directions]net.Conn{Requests: near, Answers: far}}
		if !l.add(p) {
			p.close()
			return
		}
		go l.carry(p, Requests)
		go l.carry(p, Answers)
	}
}

func (l *Link) add(p *path) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return false
	default:
	}
	l.paths[p] = struct{}{}
	return true
}

const bufferBytes = 4 << 10

// carry copies one direction until an end closes. A faulty direction keeps the end to itself.
func (l *Link) carry(p *path, d Direction) {
	from, to := p.ends[d], p.ends[directions-1-d]
	send := to.Write
	if l.delay > 0 {
		late := newDelayed(to, l.delay)
		defer close(late.pieces)
		send = late.Write
	}
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		switch fault(p.faults[d].Load()) {
		case none:
			if err == nil {
				_, err = send(buf[:n])
			}
			if err != nil {
				p.close()
				l.remove(p)
				return
			}
		case stall:
			<-l.closed
			return
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) remove(p *path) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.paths, p)
}

func (p *path) close() {
	for _, end := range p.ends {
		_ = end.Close()
	}
}

// piecesUnderWay bounds what a delayed direction holds.
const piecesUnderWay = 1 << 12

// delayed writes later.
type delayed struct {
	to     net.Conn
	delay  time.Duration
	pieces chan piece
}

type piece struct {
	data []byte
	due  time.Time
}

func newDelayed(to net.Conn, delay time.Duration) *delayed {
	d := &delayed{to: to, delay: delay, pieces: make(chan piece, piecesUnderWay)}
	go d.run()
	return d
}

// Write takes data that is written after the delay.
func (d *delayed) Write(data []byte) (int, error) {
	d.pieces <- piece{append([]byte(nil), data...), time.Now().Add(d.delay)}
	return len(data), nil
}

func (d *delayed) run() {
	for p := range d.pieces {
		time.Sleep(time.Until(p.due))
		if _, err := d.to.Write(p.data); err != nil {
			_ = d.to.Close()
		}
	}
}
