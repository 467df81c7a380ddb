package engine

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/proxy/contain"
)

const (
	// acceptBackoffMin and acceptBackoffMax bound the wait after a failed accept, usually for lack of file
	// descriptors.
	acceptBackoffMin = 5 * time.Millisecond
	acceptBackoffMax = time.Second

	// startupReserve is the number of connections in start-up that are accepted beyond MaxSessions and
	// MaxStartups, so that cancel requests and refusals still work when the limits are reached.
	startupReserve = 64
	// excessTimeout bounds the start-up of a connection beyond MaxStartups, which is refused when its
	// first packet arrives.
	excessTimeout = time.Second

	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unresponsive caller within about 30 s.
	keepAliveIdle     = 15 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
	// userTimeout closes a connection with unacknowledged data after the same time.
	userTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval
)

// Server runs client sessions. Use New.
type Server struct {
	cfg             Config
	ctx             context.Context // ends when the remaining sessions are closed by force
	stop            context.CancelFunc
	withdrawals     withdrawals
	statementCaches connectionCaches
	handshakes      handshakeGate

	mu              sync.Mutex
	listeners       map[net.Listener]struct{}
	starting        map[net.Conn]struct{} // connections before the end of start-up
	sessions        map[uint32]*session   // by the process ID sent to the caller
	draining        bool
	drained         chan struct{} // closed when draining and the last connection has ended
	openConnections int           // connections, in start-up or later
}

// New returns a server. It fails when a required part of the configuration is missing.
func New(cfg Config) (*Server, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	cfg = cfg.withDefaults()
	return &Server{
		cfg:        cfg,
		ctx:        ctx,
		stop:       stop,
		handshakes: handshakeGate{freeSlots: cfg.MaxHandshakes},
		listeners:  make(map[net.Listener]struct{}),
		starting:   make(map[net.Conn]struct{}),
		sessions:   make(map[uint32]*session),
		drained:    make(chan struct{}),
	}, nil
}

// Serve accepts callers on ln until ctx ends or Shutdown is called, and closes ln. Open sessions continue
// until Shutdown.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	if !s.addListener(ln) {
		return ln.Close()
	}
	defer s.removeListener(ln)
	release := context.AfterFunc(ctx, func() { s.removeListener(ln) })
	defer release()
	backoff := acceptBackoffMin
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(backoff)
			backoff = min(2*backoff, acceptBackoffMax)
			continue
		}
		backoff = acceptBackoffMin
		s.accept(conn)
	}
}

func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.listeners[ln] = struct{}{}
	return true
}

func (s *Server) removeListener(ln net.Listener) {
	s.mu.Lock()
	delete(s.listeners, ln)
	s.mu.Unlock()
	_ = ln.Close()
}

func (s *Server) accept(conn net.Conn) {
	excess, err := s.admitConnection(conn)
	if err != nil {
		s.reportRefusal(conn, err)
		_ = conn.Close()
		return
	}
	if !excess { // excess connections are short-lived
		setKeepAlive(conn)
	}
	go s.serveConnection(conn, excess)
}

func setKeepAlive(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	})
	setUserTimeout(tcp, userTimeout)
}

// admitConnection counts the connection and sets the deadline of its start-up. excess means that the start-up
// is beyond MaxStartups; err is the reason to close the connection without reading from it.
func (s *Server) admitConnection(conn net.Conn) (excess bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining:
		return false, errShutdown()
	case s.openConnections >= s.cfg.MaxSessions+startupReserve:
		return false, errTooManySessions()
	case len(s.starting) >= s.cfg.MaxStartups+startupReserve:
		return false, errTooManyStartups()
	}
	excess = len(s.starting) >= s.cfg.MaxStartups
	timeout := s.cfg.StartupTimeout
	if excess {
		timeout = min(timeout, excessTimeout)
	}
	// The deadline is set before the connection is added to starting, because Shutdown shortens it there.
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return false, err
	}
	s.openConnections++
	s.starting[conn] = struct{}{}
	return excess, nil
}

func (s *Server) serveConnection(conn net.Conn, excess bool) {
	defer s.connectionDone()
	sess := s.start(conn, excess)
	if sess == nil {
		return
	}
	sess.serve()
}

// start is a function of its own so that the stack of the start-up is free while the session is idle.
func (s *Server) start(conn net.Conn, excess bool) *session {
	var sess *session
	err := contain.Call(func() (err error) {
		sess, err = s.startup(conn, excess)
		return err
	})
	s.mu.Lock()
	delete(s.starting, conn)
	s.mu.Unlock()
	if err != nil {
		s.reportRefusal(conn, err)
		_ = conn.Close()
		return nil
	}
	return sess
}

// reportRefusal reports a failed start-up to the observer. A connection that only carried a cancel request
// has not failed.
func (s *Server) reportRefusal(conn net.Conn, err error) {
	if errors.Is(err, errStartupDone) {
		return
	}
	s.cfg.Observer.StartupRefused(conn.RemoteAddr().String(), err)
}

func (s *Server) connectionDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openConnections--
	s.checkDrained()
}

func (s *Server) checkDrained() {
	if !s.draining || s.openConnections > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// register adds the session under a process ID that no other session has.
func (s *Server) register(sess *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return errShutdown()
	}
	if len(s.sessions) >= s.cfg.MaxSessions {
		return errTooManySessions()
	}
	for sess.pid == 0 || s.sessions[sess.pid] != nil {
		sess.pid = rand.Uint32()
	}
	s.sessions[sess.pid] = sess
	return nil
}

func (s *Server) unregister(sess *session) {
	s.mu.Lock()
	delete(s.sessions, sess.pid)
	s.mu.Unlock()
}
