// Package pgframe follows the message boundaries in a stream of PostgreSQL messages without decoding
// the messages.
package pgframe

import "encoding/binary"

// headerBytes are a message's type byte and its length, which counts itself but not the type.
const headerBytes = 5

// Frames follows one direction of a connection. The zero value is at a message boundary.
type Frames struct {
	header [headerBytes]byte
	have   int  // bytes of the header
	body   int  // bytes of the body still to come
	fresh  bool // the body's first byte is still to come
}

// Each takes the next bytes of the stream. It calls visit for each message whose header, and the first
// byte of whose body if it has one, end in them; first is that byte or 0.
func (f *Frames) Each(b []byte, visit func(kind, first byte)) {
	for len(b) > 0 {
		if f.body == 0 {
			b = f.takeHeader(b, visit)
			continue
		}
		if f.fresh {
			f.fresh = false
			visit(f.header[0], b[0])
		}
		skip := min(f.body, len(b))
		f.body -= skip
		b = b[skip:]
	}
}

// takeHeader takes bytes of a header and returns those behind it.
func (f *Frames) takeHeader(b []byte, visit func(kind, first byte)) []byte {
	taken := copy(f.header[f.have:], b)
	f.have += taken
	if f.have < headerBytes {
		return b[taken:]
	}
	f.have = 0
	f.body = max(0, int(binary.BigEndian.Uint32(f.header[1:]))-4)
	f.fresh = f.body > 0
	if !f.fresh {
		visit(f.header[0], 0)
	}
	return b[taken:]
}

// AtBoundary reports whether the bytes so far end with a whole message.
func (f *Frames) AtBoundary() bool {
	return f.have == 0 && f.body == 0
}

// IsRequest reports whether the server answers a message of this type with ReadyForQuery: Query, Sync
// and FunctionCall.
func IsRequest(kind byte) bool {
	return kind == 'Q' || kind == 'S' || kind == 'F'
}

// Types of messages from a server.
const (
	ReadyForQuery   = 'Z' // its first byte is the transaction status
	ParameterStatus = 'S'
)
