package home

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/home/homepb"
)

// LocalConn is a connection of the local pool that can be lent to another instance.
type LocalConn interface {
	engine.Conn
	// Raw returns the connection's byte stream. It is used only between statements' messages, when
	// the frontend holds no bytes.
	Raw() net.Conn
}

// Server implements the Homes service on the local pool.
type Server struct {
	homepb.DRPCHomesUnimplementedServer
	local  engine.Pool
	loans  *loans
	period time.Duration // between Alive messages

	// Ready, if set before use, reports whether this instance can be a home. Until then checkouts
	// are refused in a way that sends them to the next home.
	Ready func() bool
}

// NewServer returns the service for connections of the local pool.
func NewServer(local engine.Pool) *Server {
	return &Server{local: local, loans: newLoans(), period: alivePeriod}
}

// Checkout lends one connection until the stream ends, or until the answer has ended where Open says
// that it carries the whole use.
func (s *Server) Checkout(stream homepb.DRPCHomes_CheckoutStream) error {
	m, err := stream.Recv()
	if err != nil {
		return err
	}
	open := m.GetOpen()
	if open == nil {
		return errors.New("the first message of a checkout must be Open; run the same release on all instances")
	}
	if s.Ready != nil && !s.Ready() {
		return stream.Send(notHome("this instance has no configuration in force yet"))
	}
	if !s.loans.begin() {
		return stream.Send(notHome("this instance is stopping"))
	}
	defer s.loans.end()
	l := newLoan(stream, open, s.period)
	defer l.close()
	go l.receive()
	if err := l.acquire(s.local); err != nil {
		return sendRefused(stream, err)
	}
	s.loans.add(l)
	defer s.loans.remove(l)
	return l.run()
}

func granted(waitedUs int64) *homepb.FromHome {
	return &homepb.FromHome{Body: &homepb.FromHome_Granted{Granted: &homepb.Granted{}}, WaitedUs: waitedUs}
}

// sendRefused tells the borrower that nothing of the statement has reached a server.
func sendRefused(stream homepb.DRPCHomes_CheckoutStream, err error) error {
	e := outcome.As(err)
	if e == nil {
		e = outcome.New(outcome.NotRun, outcome.CodeCannotConnectNow, err.Error(), "try again")
	}
	return stream.Send(&homepb.FromHome{Body: &homepb.FromHome_Refused{Refused: &homepb.Refused{
		Code:         e.Code,
		Message:      e.Message,
		Remedy:       e.Remedy,
		RetryAfterUs: e.RetryAfter.Microseconds(),
	}}})
}
