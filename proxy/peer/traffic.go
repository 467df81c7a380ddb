package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes transferred on the peer connections of an instance, without TCP and IP
// headers.
type Traffic struct {
	Sent     atomic.Uint64 // bytes
	Received atomic.Uint64 // bytes
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(uint64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(uint64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	traffic *Traffic
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.traffic}, nil
}
