package link

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a silent connection that still carries bytes or its end, and against new connections
// that share its fault.
func TestSilence(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	l, err := Start(server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, far := openConn(t, l, accepted)
	checkForwards(t, near, far)
	checkForwards(t, far, near)
	l.Silence(Requests)
	checkForwards(t, far, near)
	if _, err := near.Write([]byte("lost")); err != nil {
		t.Error(err)
	}
	_ = near.Close()
	newNear, newFar := openConn(t, l, accepted)
	checkForwards(t, newNear, newFar)
	_ = far.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := far.Read(make([]byte, 4)); err == nil || err == io.EOF {
		t.Errorf("%d bytes or the end came through a silent connection: %v", n, err)
	}
}

func openConn(t *testing.T, l *Link, accepted chan net.Conn) (near, far net.Conn) {
	t.Helper()
	near, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	far = <-accepted
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

func checkForwards(t *testing.T, from, to net.Conn) {
	t.Helper()
	if _, err := from.Write([]byte("ping")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(to, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
}
