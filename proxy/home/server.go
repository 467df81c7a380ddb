package home

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcctx"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/home/homepb"
)

// chunkBytes is the size of the pieces in which answers are sent on; TCP and drpc flow control
// bound what is under way.
const chunkBytes = 32 << 10

// chunks holds the buffers of answers, since a checkout mostly serves one short statement.
var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// cancelTimeout bounds a cancel request to a server.
const cancelTimeout = 2 * time.Second

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

// Checkout lends one connection until the stream ends.
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
	l := &loan{stream: stream, done: make(chan struct{})}
	l.pulse = &pulse{period: s.period, patience: homePatience, send: l.sendAlive, silent: l.cutOff}
	l.pulse.start()
	defer l.pulse.stop()
	conn, err := s.local.Acquire(stream.Context(), engine.AcquireRequest{
		Target: engine.Target{
			Server:      authority.ServerID(open.GetServer()),
			Incarnation: open.GetIncarnation(),
		},
		Account: open.GetAccount(),
		Weight:  int(open.GetWeight()),
		Timeout: time.Duration(open.GetTimeoutUs()) * time.Microsecond,
	})
	if err != nil {
		return sendRefused(stream, err)
	}
	local, ok := conn.(LocalConn)
	if !ok {
		conn.Release(true)
		return errors.New("local pool can't lend its connections")
	}
	l.conn = local
	s.loans.add(l)
	defer s.loans.remove(l)
	return l.run()
}

// loan is one connection lent over a stream.
type loan struct {
	stream homepb.DRPCHomes_CheckoutStream
	conn   LocalConn
	done   chan struct{} // closed when the answers' goroutine has ended
	pulse  *pulse

	received atomic.Uint64 // bytes of data
	busy     atomic.Bool   // a message is being handled

	mu      sync.Mutex
	between bool // no statement is in execution: the borrower has given its slot back
	over    bool // the loan ends as soon as it is between statements
}

func (l *loan) sendAlive() error {
	alive := &homepb.Alive{ReceivedBytes: l.received.Load(), Busy: l.busy.Load()}
	return l.stream.Send(&homepb.FromHome{Body: &homepb.FromHome_Alive{Alive: alive}})
}

// cutOff closes the connection to a borrower that is not heard any more, which ends all that waits
// for the stream.
func (l *loan) cutOff() {
	if transport, ok := drpcctx.Transport(l.stream.Context()); ok {
		_ = transport.Close()
		return
	}
	_ = l.stream.Close()
}

// run carries messages until the borrower releases the connection or is gone.
func (l *loan) run() error {
	if err := l.stream.Send(granted()); err != nil {
		l.conn.Release(true)
		return err
	}
	go l.sendAnswers()
	reuse, err := l.receive()
	// A deadline in the past ends the read of the answers' goroutine. The borrower releases a
	// connection for reuse only after it has the whole answer, so no bytes are lost.
	_ = l.conn.SetDeadline(time.Unix(1, 0))
	<-l.done
	if l.conn.SetDeadline(time.Time{}) != nil {
		reuse = false
	}
	l.conn.Release(reuse)
	return err
}

// receive handles the borrower's messages and reports whether the connection may be reused.
func (l *loan) receive() (reuse bool, err error) {
	for {
		l.pulse.waiting.Store(true)
		m, err := l.stream.Recv()
		l.pulse.waiting.Store(false)
		l.pulse.progress.Add(1)
		if err != nil {
			return false, nil // the borrower is gone: the connection is in doubt
		}
		if release := m.GetRelease(); release != nil {
			return release.GetReuse(), nil
		}
		if err := l.handle(m); err != nil {
			return false, err
		}
	}
}

func (l *loan) handle(m *homepb.ToHome) error {
	l.received.Add(uint64(len(m.GetData())))
	l.busy.Store(true)
	defer l.busy.Store(false)
	switch {
	case m.GetAlive() != nil:
	case m.GetEndStatement() != nil:
		l.conn.EndStatement()
		return l.endStatement()
	case m.GetBeginStatement() != nil:
		if err := l.beginStatement(); err != nil {
			return err
		}
		timeout := time.Duration(m.GetBeginStatement().GetTimeoutUs()) * time.Microsecond
		if err := l.conn.BeginStatement(l.stream.Context(), timeout); err != nil {
			return sendRefused(l.stream, err)
		}
		return l.stream.Send(granted())
	case m.GetCancel() != nil:
		ctx, cancel := context.WithTimeout(l.stream.Context(), cancelTimeout)
		defer cancel()
		_ = l.conn.Cancel(ctx)
	default:
		_, err := l.conn.Raw().Write(m.GetData())
		return err
	}
	return nil
}

// sendAnswers sends on what the server answers. When the server's connection breaks it ends the
// stream, so that the borrower learns of it at once.
func (l *loan) sendAnswers() {
	defer close(l.done)
	chunk := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(chunk)
	buf := chunk[:]
	for {
		n, err := l.conn.Raw().Read(buf)
		if n > 0 {
			if l.stream.Send(&homepb.FromHome{Body: &homepb.FromHome_Data{Data: buf[:n]}}) != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			_ = l.stream.CloseSend()
		}
		return
	}
}

func granted() *homepb.FromHome {
	return &homepb.FromHome{Body: &homepb.FromHome_Granted{Granted: &homepb.Granted{}}}
}

func sendRefused(stream homepb.DRPCHomes_CheckoutStream, err error) error {
	e := outcome.As(err)
	if e == nil {
		return err
	}
	return stream.Send(&homepb.FromHome{Body: &homepb.FromHome_Refused{Refused: &homepb.Refused{
		Code:         e.Code,
		Message:      e.Message,
		Remedy:       e.Remedy,
		RetryAfterUs: e.RetryAfter.Microseconds(),
	}}})
}
