package home

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/proxy/home/homepb"
)

// errNoOpen is returned to a borrower that runs an incompatible release.
var errNoOpen = errors.New("the first message of a checkout must be Open; run the same release on all instances")

// borrower is the remote end of a stream, which it uses for successive loans.
type borrower struct {
	stream homepb.DRPCHomes_CheckoutStream
	period time.Duration // between Alive messages
	loans  chan *loan    // requested loans; closed when the stream has ended
	done   chan struct{} // closed when no more loans are served
	err    error         // why the first loan could not be opened; read after loans is closed
}

func newBorrower(stream homepb.DRPCHomes_CheckoutStream, period time.Duration) *borrower {
	return &borrower{stream: stream, period: period, loans: make(chan *loan), done: make(chan struct{})}
}

// receive handles messages until the stream ends. It has to read all of them, since an unread message
// would block the drpc connection.
func (b *borrower) receive() {
	defer close(b.loans)
	current, err := b.receiveFirstOpen()
	if err != nil {
		b.err = err
		return
	}
	for {
		m, err := current.recv()
		if err != nil {
			current.stop(false, nil) // the borrower is gone, so the state of the connection is unknown
			return
		}
		if open := m.GetOpen(); open != nil {
			current = b.openLoan(open)
			continue
		}
		current.handle(m)
	}
}

func (b *borrower) receiveFirstOpen() (*loan, error) {
	m, err := b.stream.Recv()
	if err != nil {
		return nil, err
	}
	if m.GetOpen() == nil {
		return nil, errNoOpen
	}
	return b.openLoan(m.GetOpen()), nil
}

func (b *borrower) openLoan(open *homepb.Open) *loan {
	l := newLoan(b.stream, open, b.period)
	b.offer(l)
	return l
}

// offer passes a loan to Checkout, or closes it if Checkout has returned.
func (b *borrower) offer(l *loan) {
	select {
	case b.loans <- l:
	case <-b.done:
		l.close()
	}
}
