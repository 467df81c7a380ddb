package pool

import "encoding/binary"

// headerBytes are a message's type byte and its length, which counts itself but not the type.
const headerBytes = 5

// framing follows the message boundaries in one direction of a connection.
type framing struct {
	header [headerBytes]byte
	have   int // bytes of the header
	body   int // bytes of the body still to come
}

// count takes the next bytes and returns the number of messages of the wanted types that begin in
// them.
func (f *framing) count(b []byte, wanted func(kind byte) bool) uint64 {
	var n uint64
	for len(b) > 0 {
		if f.body > 0 {
			skip := min(f.body, len(b))
			f.body -= skip
			b = b[skip:]
			continue
		}
		taken := copy(f.header[f.have:], b)
		f.have += taken
		b = b[taken:]
		if f.have < headerBytes {
			continue
		}
		if wanted(f.header[0]) {
			n++
		}
		f.have = 0
		f.body = max(0, int(binary.BigEndian.Uint32(f.header[1:]))-4)
	}
	return n
}

// isRequest reports whether the server answers a message with ReadyForQuery: Query, Sync and
// FunctionCall.
func isRequest(kind byte) bool {
	return kind == 'Q' || kind == 'S' || kind == 'F'
}

func isReady(kind byte) bool {
	return kind == 'Z'
}
