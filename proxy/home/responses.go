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
	// chunkBytes is the maximum size of data in one message. TCP and drpc flow control bound the
	// amount in flight.
	chunkBytes = 32 << 10
	// coalesceDelay is how long a part of a response is buffered before it is sent. The first part of
	// each response and its end are sent without delay.
	coalesceDelay = time.Millisecond
)

// chunkBuffers pools response buffers, because most checkouts serve a single short statement.
var chunkBuffers = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// responseTracker finds the ends of responses in the bytes that a server sends.
type responseTracker struct {
	frames         pgframe.Scanner
	singleExchange bool // the loan ends with the last response
	pending        int  // responses expected until then
	readyForQuery  bool // the last message was ReadyForQuery
	txStatus       byte // transaction status in the last ReadyForQuery
	settingChanged bool // a ParameterStatus was received: a setting of the connection has changed
}

// expectResponsesTo counts the requests in data, which is everything that the borrower sends.
func (t *responseTracker) expectResponsesTo(data []byte) {
	var requests pgframe.Scanner
	requests.Scan(data, func(kind, _ byte) {
		if pgframe.ExpectsReadyForQuery(kind) {
			t.pending++
		}
	})
	t.singleExchange = t.pending > 0 && requests.AtBoundary()
}

// observe parses the next bytes from the server.
func (t *responseTracker) observe(b []byte) {
	t.frames.Scan(b, t.observeMessage)
}

func (t *responseTracker) observeMessage(kind, first byte) {
	t.readyForQuery = kind == pgframe.ReadyForQuery
	t.settingChanged = t.settingChanged || kind == pgframe.ParameterStatus
	if t.readyForQuery {
		t.txStatus = first
		t.pending--
	}
}

// atResponseEnd reports whether the bytes so far end at the end of a response.
func (t *responseTracker) atResponseEnd() bool {
	return t.readyForQuery && t.frames.AtBoundary()
}

// finished reports whether all responses of a single exchange were received and no transaction is open.
func (t *responseTracker) finished() bool {
	return t.singleExchange && t.pending == 0 && t.atResponseEnd() && t.txStatus == 'I'
}

// forwardResponses forwards the server's responses to the borrower. It returns when a single
// exchange has ended, which also ends the loan, when the borrower has ended the loan, or when one of the
// connections fails.
func (l *loan) forwardResponses() (ended bool, err error) {
	chunk := chunkBuffers.Get().(*[chunkBytes]byte)
	defer chunkBuffers.Put(chunk)
	c := coalescer{loan: l}
	for {
		n, err := l.conn.Raw().Read(chunk[c.buffered:])
		l.response.observe(chunk[c.buffered : c.buffered+n])
		c.buffered += n
		if l.response.finished() {
			return true, l.releaseAndSendLast(chunk[:c.buffered])
		}
		if err == nil && c.shouldWait() {
			continue
		}
		if sendErr := c.send(chunk[:c.buffered]); sendErr != nil {
			return false, sendErr
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

// coalescer combines parts of responses into one message.
type coalescer struct {
	*loan
	buffered    int  // bytes not sent yet
	started     bool // the first part of the current response has been sent
	deadlineSet bool // reads are bounded by coalesceDelay
}

// shouldWait reports whether to read more before sending. It bounds that read by coalesceDelay.
func (c *coalescer) shouldWait() bool {
	if !c.started || c.buffered == chunkBytes || c.response.atResponseEnd() {
		return false
	}
	if !c.deadlineSet {
		c.deadlineSet = true
		c.setReadDeadline(time.Now().Add(coalesceDelay))
	}
	return true
}

// send sends the buffered data.
func (c *coalescer) send(data []byte) error {
	c.buffered = 0
	c.started = !c.response.atResponseEnd()
	if c.deadlineSet {
		c.deadlineSet = false
		c.setReadDeadline(time.Time{})
	}
	if len(data) == 0 {
		return nil
	}
	body := &homepb.FromHome_Data{Data: data}
	return c.stream.Send(&homepb.FromHome{Body: body, WaitedUs: c.takeWaitedUs()})
}

// setReadDeadline sets the read deadline. If the loan is stopping, all I/O keeps failing at once.
func (l *loan) setReadDeadline(t time.Time) {
	_ = l.conn.Raw().SetReadDeadline(t)
	if l.stopping.Load() {
		_ = l.conn.SetDeadline(pastDeadline)
	}
}
