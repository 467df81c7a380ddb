// Package pgframe finds the message boundaries in a stream of PostgreSQL protocol messages without
// decoding the messages.
package pgframe

import "encoding/binary"

// headerBytes is the size of a message's type byte and length field. The length includes itself but not
// the type byte.
const headerBytes = 5

// Scanner scans one direction of a connection. The zero value is at a message boundary.
type Scanner struct {
	header           [headerBytes]byte
	headerRead       int  // bytes of the header read so far
	bodyLeft         int  // bytes of the body still to read
	firstBytePending bool // the body's first byte is still to read
}

// Scan processes the next bytes of the stream. It calls visit for each message as soon as its header
// and, if the body is not empty, the body's first byte are complete. first is that byte, or 0 if the body
// is empty.
func (s *Scanner) Scan(b []byte, visit func(kind, first byte)) {
	for len(b) > 0 {
		if s.bodyLeft == 0 {
			b = s.readHeader(b, visit)
			continue
		}
		if s.firstBytePending {
			s.firstBytePending = false
			visit(s.header[0], b[0])
		}
		skip := min(s.bodyLeft, len(b))
		s.bodyLeft -= skip
		b = b[skip:]
	}
}

// readHeader consumes bytes of a header and returns the remaining ones.
func (s *Scanner) readHeader(b []byte, visit func(kind, first byte)) []byte {
	n := copy(s.header[s.headerRead:], b)
	s.headerRead += n
	if s.headerRead < headerBytes {
		return b[n:]
	}
	s.headerRead = 0
	s.bodyLeft = max(0, int(binary.BigEndian.Uint32(s.header[1:]))-4)
	s.firstBytePending = s.bodyLeft > 0
	if !s.firstBytePending {
		visit(s.header[0], 0)
	}
	return b[n:]
}

// AtBoundary reports whether the bytes so far end at a message boundary.
func (s *Scanner) AtBoundary() bool {
	return s.headerRead == 0 && s.bodyLeft == 0
}

// ExpectsReadyForQuery reports whether the server answers a client message of this type with
// ReadyForQuery. These are Query, Sync and FunctionCall.
func ExpectsReadyForQuery(kind byte) bool {
	return kind == 'Q' || kind == 'S' || kind == 'F'
}

// Types of server messages.
const (
	ReadyForQuery   = 'Z' // the body's first byte is the transaction status
	ParameterStatus = 'S'
)
