package tcp

import (
	"context"
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against sockets, dialed or accepted, that stay open for minutes after the network path has failed.
func TestSocketOptions(t *testing.T) {
	listener, err := ListenConfig(DataTimeout).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialed, err := Dialer(DataTimeout).Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = dialed.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	for name, conn := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		checkOption(t, name, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
		checkOption(t, name, conn, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveIdle.Seconds()))
		checkOption(t, name, conn, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveInterval.Seconds()))
		checkOption(t, name, conn, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveCount)
		checkOption(t, name, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(DataTimeout.Milliseconds()))
	}
}

func checkOption(t *testing.T, name string, conn net.Conn, level, option, want int) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var got int
	if ctlErr := raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), level, option) }); ctlErr != nil {
		t.Fatal(ctlErr)
	}
	if err != nil || got != want {
		t.Errorf("%s connection: option %d of level %d is %d, want %d, error %v", name, option, level, got, want, err)
	}
}
