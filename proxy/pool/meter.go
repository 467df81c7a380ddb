package pool

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/proxy/pgframe"
	"github.com/cyclamenstile/cyclamenstile/proxy/tcp"
)

// errSilent is returned by reads on a connection that was closed as silent.
var errSilent = errors.New("the connection went silent and the server does not execute the statement")

// meteredConn counts requests, responses and bytes on a connection to a server.
type meteredConn struct {
	net.Conn
	startupDone bool // the start-up is over: messages are counted
	requests    pgframe.Scanner
	responses   pgframe.Scanner

	requestsSent      atomic.Uint64
	responsesReceived atomic.Uint64 // complete responses
	bytesReceived     atomic.Uint64
	reading           atomic.Bool // a read is waiting for bytes
	silent            atomic.Bool
}

// meteredDial returns a dial function that wraps connections in a meteredConn.
func meteredDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: conn}, nil
	}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Read implements net.Conn.
func (m *meteredConn) Read(p []byte) (int, error) {
	m.reading.Store(true)
	n, err := m.Conn.Read(p)
	m.reading.Store(false)
	m.bytesReceived.Add(uint64(n))
	if m.startupDone {
		m.responses.Scan(p[:n], m.countResponse)
	}
	if err != nil && m.silent.Load() {
		err = errSilent
	}
	return n, err
}

// Write implements net.Conn. Requests are counted before they are sent, so that a response is never
// counted before its request.
func (m *meteredConn) Write(p []byte) (int, error) {
	if m.startupDone {
		m.requests.Scan(p, m.countRequest)
	}
	return m.Conn.Write(p)
}

func (m *meteredConn) countRequest(kind, _ byte) {
	if pgframe.ExpectsReadyForQuery(kind) {
		m.requestsSent.Add(1)
	}
}

func (m *meteredConn) countResponse(kind, _ byte) {
	if kind == pgframe.ReadyForQuery {
		m.responsesReceived.Add(1)
	}
}

// closeSilent closes a silent connection. Its reads then return errSilent.
func (m *meteredConn) closeSilent() {
	m.silent.Store(true)
	_ = m.Conn.Close()
}

// sample returns the current progress of the connection.
func (m *meteredConn) sample() sample {
	s := sample{progress: progress{requestsSent: m.requestsSent.Load(), bytesReceived: m.bytesReceived.Load()}}
	s.waiting = m.reading.Load() && s.progress.requestsSent != m.responsesReceived.Load()
	if s.waiting {
		s.progress.unackedBytes = tcp.SendQueue(m.Conn)
	}
	return s
}
