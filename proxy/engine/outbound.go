package engine

import (
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// flushSize is the amount of an answer that is buffered before it is written, in bytes.
	flushSize = 16 << 10
	// maxPooledSize is the largest output buffer that is kept for other sessions, in bytes.
	maxPooledSize = 64 << 10
)

var outBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, 4096)
	return &b
}}

// outbound buffers messages for a caller and writes them with a timeout. Messages that are not yet written
// can be discarded, so that a read can be retried on another server without the caller's notice.
type outbound struct {
	conn         net.Conn
	timeout      time.Duration
	buf          *[]byte // nil while idle
	withheldFrom int     // offset from which the answer is held back; -1 if none
	written      bool    // part of the current answer was written to the caller
}

// begin resets the state for a new answer.
func (o *outbound) begin() {
	o.withheldFrom = -1
	o.written = false
}

func (o *outbound) send(m pgproto3.BackendMessage) error {
	if o.buf == nil {
		o.buf = outBuffers.Get().(*[]byte)
	}
	b, err := m.Encode(*o.buf)
	if err != nil {
		return err
	}
	*o.buf = b
	return nil
}

func (o *outbound) size() int {
	if o.buf == nil {
		return 0
	}
	return len(*o.buf)
}

// withhold holds back all later messages until release.
func (o *outbound) withhold() {
	if o.withheldFrom < 0 {
		o.withheldFrom = o.size()
	}
}

func (o *outbound) withheldSize() int {
	if o.withheldFrom < 0 {
		return 0
	}
	return o.size() - o.withheldFrom
}

// release stops holding back, without writing.
func (o *outbound) release() {
	o.withheldFrom = -1
}

// discardUnwritten discards everything that was not written.
func (o *outbound) discardUnwritten() {
	if o.buf != nil {
		*o.buf = (*o.buf)[:0]
	}
	o.withheldFrom = -1
}

// flushPartial writes the messages that are not held back, if they reach flushSize.
func (o *outbound) flushPartial() error {
	ready := o.size()
	if o.withheldFrom >= 0 {
		ready = o.withheldFrom
	}
	if ready < flushSize {
		return nil
	}
	return o.write(ready)
}

// flush writes everything and returns the buffer to the pool.
func (o *outbound) flush() error {
	o.release()
	err := o.write(o.size())
	o.recycle()
	return err
}

func (o *outbound) write(n int) error {
	if n == 0 {
		return nil
	}
	o.written = true
	if err := o.conn.SetWriteDeadline(time.Now().Add(o.timeout)); err != nil {
		return err
	}
	if _, err := o.conn.Write((*o.buf)[:n]); err != nil {
		return err
	}
	rest := copy(*o.buf, (*o.buf)[n:])
	*o.buf = (*o.buf)[:rest]
	if o.withheldFrom >= 0 {
		o.withheldFrom -= n
	}
	return nil
}

func (o *outbound) recycle() {
	if o.buf == nil {
		return
	}
	if cap(*o.buf) <= maxPooledSize {
		*o.buf = (*o.buf)[:0]
		outBuffers.Put(o.buf)
	}
	o.buf = nil
}
