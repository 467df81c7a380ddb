package pool

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/proxy/pgframe"
	"github.com/cyclamenstile/cyclamenstile/proxy/tcp"
)

// errSilent is the error of a read on a connection that was closed because it is silent.
var errSilent = errors.New("the connection went silent and the server does not execute the statement")

// meter counts what passes a connection to a server.
type meter struct {
	net.Conn
	started  bool // start-up is over; messages are counted
	requests pgframe.Scanner
	answers  pgframe.Scanner

	asked    atomic.Uint64 // requests sent
	answered atomic.Uint64 // requests answered to the end
	received atomic.Uint64 // bytes
	reading  atomic.Bool   // a read waits for bytes
	silent   atomic.Bool
}

// metered returns a dial function whose connections are meters.
func metered(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meter{Conn: conn}, nil
	}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Read implements net.Conn.
func (m *meter) Read(p []byte) (int, error) {
	m.reading.Store(true)
	n, err := m.Conn.Read(p)
	m.reading.Store(false)
	m.received.Add(uint64(n))
	if m.started {
		m.answers.Scan(p[:n], m.countAnswer)
	}
	if err != nil && m.silent.Load() {
		err = errSilent
	}
	return n, err
}

// Write implements net.Conn. Requests count before they are sent, so that their answers never come
// first.
func (m *meter) Write(p []byte) (int, error) {
	if m.started {
		m.requests.Scan(p, m.countRequest)
	}
	return m.Conn.Write(p)
}

func (m *meter) countRequest(kind, _ byte) {
	if pgframe.ExpectsReadyForQuery(kind) {
		m.asked.Add(1)
	}
}

func (m *meter) countAnswer(kind, _ byte) {
	if kind == pgframe.ReadyForQuery {
		m.answered.Add(1)
	}
}

// fail ends reads and writes on a silent connection.
func (m *meter) fail() {
	m.silent.Store(true)
	_ = m.Conn.Close()
}

// sample returns what has passed so far.
func (m *meter) sample() sample {
	s := sample{progress: progress{asked: m.asked.Load(), received: m.received.Load()}}
	s.waiting = m.reading.Load() && s.progress.asked != m.answered.Load()
	if s.waiting {
		s.progress.queued = tcp.SendQueue(m.Conn)
	}
	return s
}
