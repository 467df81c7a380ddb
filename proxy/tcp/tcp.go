// Package tcp opens and configures TCP connections that detect by themselves when the peer or the network
// path to it has failed.
package tcp

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// Keepalive probes of an idle connection. The user timeout decides when unanswered probes close it.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// Values of TCP_USER_TIMEOUT, after which a connection is closed if the peer does not acknowledge sent
// data. Linux also counts the time for which the peer's receive window is full, so the timeout must exceed
// the time for which a receiver may legitimately stop reading.
const (
	// CallTimeout is for connections that carry short calls, whose receiver always reads.
	CallTimeout = 5 * time.Second
	// DataTimeout is for connections that carry statements and results. A server does not read while it
	// executes a statement, and a proxy does not read while its caller doesn't, so it equals the default
	// statement timeout.
	DataTimeout = 30 * time.Second
)

// Dialer returns a dialer whose connections use keepalive and the given user timeout.
func Dialer(userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Control: setUserTimeout(userTimeout), KeepAliveConfig: keepAlive()}
}

// ListenConfig returns a listener configuration with keepalive and the given user timeout. Accepted
// connections inherit the timeout from the listening socket.
func ListenConfig(userTimeout time.Duration) *net.ListenConfig {
	return &net.ListenConfig{Control: setUserTimeout(userTimeout), KeepAliveConfig: keepAlive()}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}
}

func setUserTimeout(userTimeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		return errors.CombineErrors(err, optErr)
	}
}

// Linger closes the sending side of conn and discards input until the peer has closed its side or timeout has passed. Closing a
// connection with unread input resets it, and a reset can destroy the last message before the peer has read it.
func Linger(conn net.Conn, timeout time.Duration) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	_, _ = io.Copy(io.Discard, conn)
}

// SendQueue returns the number of bytes that were written to conn and not yet acknowledged by the peer, or
// 0 if conn has no socket.
func SendQueue(conn net.Conn) int {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	_ = raw.Control(func(fd uintptr) { queued, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return queued
}
