package link

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a silenced connection that still passes on data or its close, and against new
// connections that inherit the fault.
func TestSilence(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	l, err := Start(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, server := openConn(t, l, accepted)
	checkForwards(t, client, server)
	checkForwards(t, server, client)
	l.Silence(Requests)
	checkForwards(t, server, client)
	if _, err := client.Write([]byte("lost")); err != nil {
		t.Error(err)
	}
	_ = client.Close()
	newClient, newServer := openConn(t, l, accepted)
	checkForwards(t, newClient, newServer)
	_ = server.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := server.Read(make([]byte, 4)); err == nil || err == io.EOF {
		t.Errorf("read %d bytes from a silenced connection with error %v, want neither data nor EOF", n, err)
	}
}

func openConn(t *testing.T, l *Link, accepted chan net.Conn) (client, server net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	server = <-accepted
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
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
