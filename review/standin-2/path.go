package main

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"time"
)

// path is the way of one instance to the platform's store. It can be cut, silently: what is sent meanwhile is lost.
type path struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	isCut bool
	asked map[string]time.Time // when the last watch of a kind was sent
}

func startPath(target string) (*path, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &path{listener: listener, target: target, asked: map[string]time.Time{}}
	go p.accept()
	return p, nil
}

func (p *path) address() string {
	return p.listener.Addr().String()
}

func (p *path) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = cut
}

// watchedSince returns when the watch of a kind that is open now was sent.
func (p *path) watchedSince(kind string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked[kind]
}

func (p *path) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *path) forward(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	go func() {
		p.copy(conn, to, func(string) {})
		_ = conn.Close()
	}()
	p.copy(to, conn, p.note)
}

// copy passes lines on. During a cut nothing gets through on the connection, also later.
func (p *path) copy(to, from net.Conn, note func(line string)) {
	in := bufio.NewReader(from)
	buffer := make([]byte, 64<<10)
	lost := false
	for {
		n, err := in.Read(buffer)
		p.mu.Lock()
		lost = lost || p.isCut
		p.mu.Unlock()
		if err != nil {
			return
		}
		if lost {
			continue
		}
		note(string(buffer[:n]))
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// note records the watches among the requests.
func (p *path) note(data string) {
	line, _, _ := strings.Cut(data, "\r\n")
	rest, found := strings.CutPrefix(line, "GET /cyclamenstile/objects/")
	kind, query, _ := strings.Cut(rest, "?")
	if found && strings.Contains(query, "watch=") {
		p.mu.Lock()
		p.asked[kind] = time.Now()
		p.mu.Unlock()
	}
}
