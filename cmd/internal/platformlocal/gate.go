package platformlocal

import (
	"fmt"
	"io"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// gate forwards connections to one server. It can be closed for instances that run as separate processes, whose connections then
// end at once.
type gate struct {
	target   string
	listener net.Listener

	mu        sync.Mutex
	closedFor []*Instance
	conns     map[net.Conn]struct{} // of instances
}

func startGate(target string) (*gate, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "start the gate of a server")
	}
	g := &gate{target: target, listener: listener, conns: map[net.Conn]struct{}{}}
	go g.accept()
	return g, nil
}

func (g *gate) address() string {
	return g.listener.Addr().String()
}

func (g *gate) close() {
	_ = g.listener.Close()
}

func (g *gate) closeFor(i *Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closedFor = append(g.closedFor, i)
	for conn := range g.conns {
		if i.opened(conn) {
			_ = conn.Close()
		}
	}
}

func (g *gate) accept() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.forward(conn)
	}
}

func (g *gate) forward(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !g.admit(conn) {
		return
	}
	defer g.remove(conn)
	server, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		_, _ = io.Copy(conn, server) // ends when either side closes
		_ = conn.Close()
	}()
	_, _ = io.Copy(server, conn)
}

func (g *gate) admit(conn net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.ContainsFunc(g.closedFor, func(i *Instance) bool { return i.opened(conn) }) {
		return false
	}
	g.conns[conn] = struct{}{}
	return true
}

func (g *gate) remove(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, conn)
}

// opened reports whether the process of the instance holds the other end of an accepted connection. All instances connect from
// the same address, so that only its sockets tell.
func (i *Instance) opened(conn net.Conn) bool {
	p, ok := i.lastRun().(*process)
	remote, isTCP := conn.RemoteAddr().(*net.TCPAddr)
	if !ok || !isTCP {
		return false
	}
	pid := p.cmd.Process.Pid
	handle, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return false // it has ended
	}
	defer func() { _ = unix.Close(handle) }()
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	return slices.ContainsFunc(files, func(f string) bool {
		fd, err := strconv.Atoi(filepath.Base(f))
		return err == nil && localPort(handle, fd) == remote.Port
	})
}

// localPort returns the local port of a socket of another process, 0 if the descriptor is no TCP socket.
func localPort(process, fd int) int {
	own, err := unix.PidfdGetfd(process, fd, 0)
	if err != nil {
		return 0
	}
	defer func() { _ = unix.Close(own) }()
	address, err := unix.Getsockname(own)
	if ip4, ok := address.(*unix.SockaddrInet4); err == nil && ok {
		return ip4.Port
	}
	return 0
}
