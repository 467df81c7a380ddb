package home

import (
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/proxy/home/homepb"
	"github.com/cyclamenstile/cyclamenstile/proxy/pgframe"
)

const (
	// chunkBytes is the largest piece of data in one message; TCP and drpc flow control bound what is
	// under way.
	chunkBytes = 32 << 10
	// gatherTime is how long a part of an answer waits for more before it is sent. The first part of
	// each answer and its end don't wait.
	gatherTime = time.Millisecond
)

// chunks holds the buffers of answers, since a checkout mostly serves one short statement.
var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// answer finds the ends of answers in what a server sends.
type answer struct {
	frames  pgframe.Scanner
	whole   bool // the loan ends with the last answer
	left    int  // answers still to come until then
	ready   bool // the last message was ReadyForQuery
	status  byte // the transaction status that it told
	changed bool // a ParameterStatus came: a setting of the connection has changed
}

// expect notes that data holds everything that the borrower sends.
func (a *answer) expect(data []byte) {
	var requests pgframe.Scanner
	requests.Scan(data, func(kind, _ byte) {
		if pgframe.ExpectsReadyForQuery(kind) {
			a.left++
		}
	})
	a.whole = a.left > 0 && requests.AtBoundary()
}

// take follows the next bytes of the server.
func (a *answer) take(b []byte) {
	a.frames.Scan(b, a.message)
}

func (a *answer) message(kind, first byte) {
	a.ready = kind == pgframe.ReadyForQuery
	a.changed = a.changed || kind == pgframe.ParameterStatus
	if a.ready {
		a.status = first
		a.left--
	}
}

// ended reports whether the bytes so far end with the end of an answer.
func (a *answer) ended() bool {
	return a.ready && a.frames.AtBoundary()
}

// finished reports whether the whole use of the connection has ended outside a transaction.
func (a *answer) finished() bool {
	return a.whole && a.left == 0 && a.ended() && a.status == 'I'
}

// sendAnswers sends on what the server answers. It ends when the whole use has ended, which ends the
// loan too, when the borrower has ended the loan, or with the error of one of the connections.
func (l *loan) sendAnswers() (ended bool, err error) {
	chunk := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(chunk)
	g := gathering{loan: l}
	for {
		n, err := l.conn.Raw().Read(chunk[g.held:])
		l.answer.take(chunk[g.held : g.held+n])
		g.held += n
		if l.answer.finished() {
			return true, l.end(chunk[:g.held])
		}
		if err == nil && g.waits() {
			continue
		}
		if failed := g.send(chunk[:g.held]); failed != nil {
			return false, failed
		}
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return false, err
		case l.stopping.Load():
			return false, nil
		}
	}
}

// gathering collects parts of answers for one message.
type gathering struct {
	*loan
	held    int  // bytes that are not sent yet
	flowing bool // the first part of the present answer has been sent
	bounded bool // reads have a deadline
}

// waits reports whether what is held waits for more, and sees to it that it doesn't wait for long.
func (g *gathering) waits() bool {
	if !g.flowing || g.held == chunkBytes || g.answer.ended() {
		return false
	}
	if !g.bounded {
		g.bounded = true
		g.boundRead(time.Now().Add(gatherTime))
	}
	return true
}

// send sends what is held.
func (g *gathering) send(data []byte) error {
	g.held = 0
	g.flowing = !g.answer.ended()
	if g.bounded {
		g.bounded = false
		g.boundRead(time.Time{})
	}
	if len(data) == 0 {
		return nil
	}
	body := &homepb.FromHome_Data{Data: data}
	return g.stream.Send(&homepb.FromHome{Body: body, WaitedUs: g.takeWaited()})
}

// boundRead sets the deadline of reads unless the loan is to end.
func (l *loan) boundRead(t time.Time) {
	_ = l.conn.Raw().SetReadDeadline(t)
	if l.stopping.Load() {
		_ = l.conn.SetDeadline(longAgo)
	}
}
