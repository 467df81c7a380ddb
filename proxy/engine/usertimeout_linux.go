package engine

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout closes the connection when its peer acknowledges no data for d. Keepalive probes are not
// sent while data is unacknowledged. Source: tcp(7).
func setUserTimeout(conn *net.TCPConn, d time.Duration) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}
