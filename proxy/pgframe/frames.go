// Package pgframe follows the message boundaries in a stream of PostgreSQL messages without decoding
// the messages.
package pgframe

import "encoding/binary"

// headerBytes are a message's type byte and its length, which counts itself but not the type.
const headerBytes = 5

// Scanner follows one direction of a connection. The zero value is at a message boundary.
type Scanner struct {
	header           [headerBytes]byte
	headerRead       int  // bytes of the header
	bodyLeft         int  // bytes of the body still to come
	firstBytePending bool // the body's first byte is still to come
}

// Scan takes the next bytes of the stream. It calls visit for each message whose header, and the first
// byte of whose body if it has one, end in them; first is that byte or 0.
func (f *Scanner) Scan(b []byte, visit func(kind, first byte)) {
	for len(b) > 0 {
		if f.bodyLeft == 0 {
			b = f.readHeader(b, visit)
			continue
		}
		if f.firstBytePending {
			f.firstBytePending = false
			visit(f.header[0], b[0])
		}
		skip := min(f.bodyLeft, len(b))
		f.bodyLeft -= skip
		b = b[skip:]
	}
}

// readHeader takes bytes of a header and returns those behind it.
func (f *Scanner) readHeader(b []byte, visit func(kind, first byte)) []byte {
	taken := copy(f.header[f.headerRead:], b)
	f.headerRead += taken
	if f.headerRead < headerBytes {
		return b[taken:]
	}
	f.headerRead = 0
	f.bodyLeft = max(0, int(binary.BigEndian.Uint32(f.header[1:]))-4)
	f.firstBytePending = f.bodyLeft > 0
	if !f.firstBytePending {
		visit(f.header[0], 0)
	}
	return b[taken:]
}

// AtBoundary reports whether the bytes so far end with a whole message.
func (f *Scanner) AtBoundary() bool {
	return f.headerRead == 0 && f.bodyLeft == 0
}

// ExpectsReadyForQuery reports whether the server answers a message of this type with ReadyForQuery: Query, Sync
// and FunctionCall.
func ExpectsReadyForQuery(kind byte) bool {
	return kind == 'Q' || kind == 'S' || kind == 'F'
}

// Types of messages from a server.
const (
	ReadyForQuery   = 'Z' // its first byte is the transaction status
	ParameterStatus = 'S'
)
