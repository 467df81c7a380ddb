package store

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Server serves a Handler on a TCP listener.
type Server struct {
	*Handler

	address string
	mu      sync.Mutex
	http    *http.Server // nil while connections are refused
}

// Start listens on address, such as 127.0.0.1:0, and serves an empty store.
func Start(address string) (*Server, error) {
	s := &Server{Handler: NewHandler(), address: address}
	return s, s.AcceptConnections()
}

// Address returns the IP and port of the listener.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns the base URL for a client.
func (s *Server) URL() string {
	return "http://" + s.Address()
}

// RefuseConnections closes the listener and all connections. New connections are refused until
// AcceptConnections; the content is kept.
func (s *Server) RefuseConnections() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return nil
	}
	err := s.http.Close()
	s.http = nil
	return err
}

// AcceptConnections starts listening. After RefuseConnections it listens on the same address again.
func (s *Server) AcceptConnections() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s; choose a free port", s.address)
	}
	s.address = listener.Addr().String()
	s.http = &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: 5 * time.Second,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.http)
	return nil
}

// Close stops the server.
func (s *Server) Close() error {
	return s.RefuseConnections()
}
