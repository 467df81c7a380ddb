package home

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/proxy/home/homepb"
)

// errNoOpen is the answer to a borrower of another release.
var errNoOpen = errors.New("the first message of a checkout must be Open; run the same release on all instances")

// borrower is the other instance at the end of a stream. It uses the stream for one loan after another.
type borrower struct {
	stream homepb.DRPCHomes_CheckoutStream
	period time.Duration // between Alive messages
	loans  chan *loan    // asked for; closed when no more comes
	done   chan struct{} // closed when no more loans are taken
	err    error         // why there was no loan
}

func newBorrower(stream homepb.DRPCHomes_CheckoutStream, period time.Duration) *borrower {
	return &borrower{stream: stream, period: period, loans: make(chan *loan), done: make(chan struct{})}
}

// receive handles messages until the stream ends. It has to take all of them, since an untaken one
// would block the drpc connection.
func (b *borrower) receive() {
	defer close(b.loans)
	present, err := b.receiveFirstOpen()
	if err != nil {
		b.err = err
		return
	}
	for {
		m, err := present.recv()
		if err != nil {
			present.stop(false, nil) // the borrower is gone: the connection is in doubt
			return
		}
		if open := m.GetOpen(); open != nil {
			present = b.openLoan(open)
			continue
		}
		present.handle(m)
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

func (b *borrower) openLoan(o *homepb.Open) *loan {
	l := newLoan(b.stream, o, b.period)
	b.offer(l)
	return l
}

// offer hands a loan over, or ends it where none is taken any more.
func (b *borrower) offer(l *loan) {
	select {
	case b.loans <- l:
	case <-b.done:
		l.close()
	}
}
