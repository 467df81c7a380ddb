package engine

import (
	"encoding/binary"
	"io"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// inboundBufferSize is the size of the read buffer of a session with messages under way, in bytes.
	inboundBufferSize = 4096
	// messageHeaderSize is the type byte and the length of a message, in bytes.
	messageHeaderSize = 5
	// largeMessageSize is the size from which the decoder's buffer is not kept for other sessions.
	largeMessageSize = 8192
)

// inbound decodes a caller's messages. It hands the decoder no byte beyond the present message, so
// that decoder and buffers can be given to another session between two messages.
type inbound struct {
	src       io.Reader
	backend   *pgproto3.Backend
	remaining int // bytes of the present message not yet handed to the decoder
	r, w      int // unread part of buf
	large     bool
	buf       [inboundBufferSize]byte
}

var inbounds = sync.Pool{New: func() any { return newInbound() }}

func newInbound() *inbound {
	in := &inbound{}
	in.backend = pgproto3.NewBackend(in, io.Discard)
	return in
}

// getInbound returns a decoder for src that continues after the byte first.
func getInbound(src io.Reader, first byte, maxMessage int) *inbound {
	in := inbounds.Get().(*inbound)
	in.src = src
	in.buf[0] = first
	in.r, in.w = 0, 1
	in.backend.SetMaxBodyLen(maxMessage)
	return in
}

// recycle returns the decoder to the pool; no part of a message may be unread.
func (in *inbound) recycle() {
	in.src = nil
	if in.large {
		return
	}
	inbounds.Put(in)
}

// atBoundary reports whether everything received so far was decoded.
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

// nextMessage learns the size of the next message. A length that is too small is left to the
// decoder to refuse.
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
