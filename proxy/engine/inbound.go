package engine

import (
	"encoding/binary"
	"io"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// inboundBufferSize is the size of the read buffer of a session that is receiving messages, in bytes.
	inboundBufferSize = 4096
	// messageHeaderSize is the size of the type byte and the length field of a message, in bytes.
	messageHeaderSize = 5
	// largeMessageSize is the size in bytes above which the decoder's buffer is not kept for other sessions.
	largeMessageSize = 8192
)

// inbound decodes a caller's messages. It passes the decoder no byte beyond the current message, so that
// the decoder and its buffers can be used for another session between two messages.
type inbound struct {
	src       io.Reader
	backend   *pgproto3.Backend
	remaining int // bytes of the current message not yet passed to the decoder
	r, w      int // bounds of the unread part of buf
	large     bool
	buf       [inboundBufferSize]byte
}

var inbounds = sync.Pool{New: func() any { return newInbound() }}

func newInbound() *inbound {
	in := &inbound{}
	in.backend = pgproto3.NewBackend(in, io.Discard)
	return in
}

// getInbound returns a pooled decoder for src, whose first byte was read already.
func getInbound(src io.Reader, first byte, maxMessage int) *inbound {
	in := inbounds.Get().(*inbound)
	in.src = src
	in.buf[0] = first
	in.r, in.w = 0, 1
	in.backend.SetMaxBodyLen(maxMessage)
	return in
}

// recycle returns the decoder to the pool. It must be at a message boundary.
func (in *inbound) recycle() {
	in.src = nil
	if in.large {
		return
	}
	inbounds.Put(in)
}

// atBoundary reports whether everything received so far has been decoded.
func (in *inbound) atBoundary() bool {
	return in.remaining == 0 && in.r == in.w
}

func (in *inbound) receive() (pgproto3.FrontendMessage, error) {
	return in.backend.Receive()
}

// Read implements io.Reader for the decoder.
func (in *inbound) Read(p []byte) (int, error) {
	if in.remaining == 0 {
		if err := in.nextMessage(); err != nil {
			return 0, err
		}
	}
	p = p[:min(len(p), in.remaining)]
	n, err := in.readBuffered(p)
	in.remaining -= n
	return n, err
}

func (in *inbound) readBuffered(p []byte) (int, error) {
	if in.r == in.w {
		return in.src.Read(p)
	}
	n := copy(p, in.buf[in.r:in.w])
	in.r += n
	return n, nil
}

// nextMessage reads the size of the next message. The decoder rejects a length that is too small.
func (in *inbound) nextMessage() error {
	if err := in.fill(messageHeaderSize); err != nil {
		return err
	}
	length := int(binary.BigEndian.Uint32(in.buf[in.r+1:]))
	in.remaining = max(1+length, messageHeaderSize)
	if in.remaining > largeMessageSize {
		in.large = true
	}
	return nil
}

func (in *inbound) fill(n int) error {
	if in.w-in.r >= n {
		return nil
	}
	in.w = copy(in.buf[:], in.buf[in.r:in.w])
	in.r = 0
	m, err := io.ReadAtLeast(in.src, in.buf[in.w:], n-in.w)
	in.w += m
	return err
}
