package home

import (
	"net"
	"time"

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
	loans  *loanTracker
	period time.Duration // between Alive messages

	// Ready, if set before use, reports whether this instance can be a home. Until then checkouts
	// are refused in a way that sends them to the next home.
	Ready func() bool
}

// NewServer returns the service for connections of the local pool.
func NewServer(local engine.Pool) *Server {
	return &Server{local: local, loans: newLoanTracker(), period: alivePeriod}
}

// Checkout serves a borrower's loans, one after another. A loan whose end the home sees leaves the
// stream free for the next one; every other loan ends the stream.
func (s *Server) Checkout(stream homepb.DRPCHomes_CheckoutStream) error {
	b := newBorrower(stream, s.period)
	defer close(b.done)
	go b.receive()
	for l := range b.loans {
		again, err := s.lend(l)
		if !again {
			return err
		}
	}
	return b.err
}

// lend serves one loan. It reports whether the borrower may use the stream again.
func (s *Server) lend(l *loan) (again bool, err error) {
	defer l.close()
	if s.Ready != nil && !s.Ready() {
		return false, l.stream.Send(notHomeMessage("this instance has no configuration in force yet"))
	}
	if !s.loans.tryBegin() {
		return false, l.stream.Send(notHomeMessage("this instance is stopping"))
	}
	defer s.loans.end()
	if err := l.acquire(s.local); err != nil {
		return false, sendRefused(l.stream, err)
	}
	s.loans.add(l)
	defer s.loans.remove(l)
	return l.run()
}

func grantedMessage(waitedUs int64) *homepb.FromHome {
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
