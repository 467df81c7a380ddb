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
	// coalesceDelay is how long a part of an answer waits for more before it is sent. The first part of
	// each answer and its end don't wait.
	coalesceDelay = time.Millisecond
)

// chunkBuffers holds the buffers of answers, since a checkout mostly serves one short statement.
var chunkBuffers = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// responseTracker finds the ends of answers in what a server sends.
type responseTracker struct {
	frames         pgframe.Scanner
	wholeUse       bool // the loan ends with the last answer
	pending        int  // answers still to come until then
	readyForQuery  bool // the last message was ReadyForQuery
	txStatus       byte // the transaction status that it told
	settingChanged bool // a ParameterStatus came: a setting of the connection has changed
}

// expectResponsesTo notes that data holds everything that the borrower sends.
func (a *responseTracker) expectResponsesTo(data []byte) {
	var requests pgframe.Scanner
	requests.Scan(data, func(kind, _ byte) {
		if pgframe.ExpectsReadyForQuery(kind) {
			a.pending++
		}
	})
	a.wholeUse = a.pending > 0 && requests.AtBoundary()
}

// observe follows the next bytes of the server.
func (a *responseTracker) observe(b []byte) {
	a.frames.Scan(b, a.observeMessage)
}

func (a *responseTracker) observeMessage(kind, first byte) {
	a.readyForQuery = kind == pgframe.ReadyForQuery
	a.settingChanged = a.settingChanged || kind == pgframe.ParameterStatus
	if a.readyForQuery {
		a.txStatus = first
		a.pending--
	}
}

// atResponseEnd reports whether the bytes so far end with the end of an answer.
func (a *responseTracker) atResponseEnd() bool {
	return a.readyForQuery && a.frames.AtBoundary()
}

// finished reports whether the whole use of the connection has ended outside a transaction.
func (a *responseTracker) finished() bool {
	return a.wholeUse && a.pending == 0 && a.atResponseEnd() && a.txStatus == 'I'
}

// forwardResponses sends on what the server answers. It ends when the whole use has ended, which ends the
// loan too, when the borrower has ended the loan, or with the error of one of the connections.
func (l *loan) forwardResponses() (ended bool, err error) {
	chunk := chunkBuffers.Get().(*[chunkBytes]byte)
	defer chunkBuffers.Put(chunk)
	g := coalescer{loan: l}
	for {
		n, err := l.conn.Raw().Read(chunk[g.buffered:])
		l.response.observe(chunk[g.buffered : g.buffered+n])
		g.buffered += n
		if l.response.finished() {
			return true, l.releaseAndSendLast(chunk[:g.buffered])
		}
		if err == nil && g.shouldWait() {
			continue
		}
		if failed := g.send(chunk[:g.buffered]); failed != nil {
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

// coalescer collects parts of answers for one message.
type coalescer struct {
	*loan
	buffered    int  // bytes that are not sent yet
	started     bool // the first part of the present answer has been sent
	deadlineSet bool // reads have a deadline
}

// shouldWait reports whether what is held waits for more, and sees to it that it doesn't wait for long.
func (g *coalescer) shouldWait() bool {
	if !g.started || g.buffered == chunkBytes || g.response.atResponseEnd() {
		return false
	}
	if !g.deadlineSet {
		g.deadlineSet = true
		g.setReadDeadline(time.Now().Add(coalesceDelay))
	}
	return true
}

// send sends what is held.
func (g *coalescer) send(data []byte) error {
	g.buffered = 0
	g.started = !g.response.atResponseEnd()
	if g.deadlineSet {
		g.deadlineSet = false
		g.setReadDeadline(time.Time{})
	}
	if len(data) == 0 {
		return nil
	}
	body := &homepb.FromHome_Data{Data: data}
	return g.stream.Send(&homepb.FromHome{Body: body, WaitedUs: g.takeWaitedUs()})
}

// setReadDeadline sets the deadline of reads unless the loan is to end.
func (l *loan) setReadDeadline(t time.Time) {
	_ = l.conn.Raw().SetReadDeadline(t)
	if l.stopping.Load() {
		_ = l.conn.SetDeadline(pastDeadline)
	}
}
