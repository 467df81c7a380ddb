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
	// Raw returns the connection's byte stream. It must be used only between messages, while
	// the frontend holds no buffered bytes.
	Raw() net.Conn
}

// Server implements the Homes service with connections from the local pool.
type Server struct {
	homepb.DRPCHomesUnimplementedServer
	local  engine.Pool
	loans  *loanTracker
	period time.Duration // between Alive messages

	// Ready, if not nil, reports whether this instance can be a home. It must be set before use. While
	// it returns false, checkouts are refused with Leaving set, so that borrowers try the next instance.
	Ready func() bool
}

// NewServer returns a service that lends connections from the local pool.
func NewServer(local engine.Pool) *Server {
	return &Server{local: local, loans: newLoanTracker(), period: alivePeriod}
}

// Checkout serves a borrower's loans, one after another. The stream is free for the next loan if the
// home has detected the end of the loan itself; otherwise the end of the loan ends the stream.
func (s *Server) Checkout(stream homepb.DRPCHomes_CheckoutStream) error {
	b := newBorrower(stream, s.period)
	defer close(b.done)
	go b.receive()
	for l := range b.loans {
		reusable, err := s.lend(l)
		if !reusable {
			return err
		}
	}
	return b.err
}

// lend serves one loan. It reports whether the borrower may reuse the stream.
func (s *Server) lend(l *loan) (reusable bool, err error) {
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

// sendRefused informs the borrower that no part of the statement has reached a server.
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
