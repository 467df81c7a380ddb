package bodydelta

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

const (
	// minBlockBytes is the shortest range that is searched for. A copied range costs some 5 bytes, and shorter blocks match
	// by chance in JSON.
	minBlockBytes = 32
	// maxBlocks bounds the index of the earlier body.
	maxBlocks = 2048
)

// ErrInvalid reports a difference that is malformed, applies to another body, or exceeds the limit.
var ErrInvalid = errors.New("the difference does not lead to the announced body; fetch the whole body")

// Digest returns the SHA-256 of a body.
func Digest(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:]
}

// New returns the difference between two bodies: the length of the result, and then, until it is complete, the length of a
// range of new bytes, these bytes, and the length and offset of a range to copy from the earlier body. All numbers are
// unsigned varints.
func New(from, to []byte) []byte {
	e := encoder{to: to, out: binary.AppendUvarint(nil, uint64(len(to)))}
	index := newBlockIndex(from)
	for at := 0; at+index.size <= len(to); {
		hash := index.hashAt(to, at)
		for !index.matches(hash, to, at) && at+index.size < len(to) {
			hash = index.roll(hash, to[at], to[at+index.size])
			at++
		}
		if !index.matches(hash, to, at) {
			break
		}
		at = e.copyRange(from, index.offsets[hash], at)
	}
	e.finish()
	return e.out
}

// Apply returns the body that a difference from an earlier body leads to. It returns ErrInvalid if the body's SHA-256 is not
// digest or its length exceeds limit, in bytes.
func Apply(from, delta, digest []byte, limit int) ([]byte, error) {
	d := decoder{rest: delta}
	total := d.number()
	if total > uint64(limit) {
		return nil, errors.Wrapf(ErrInvalid, "%d bytes", total)
	}
	out := make([]byte, 0, total)
	for !d.failed && uint64(len(out)) < total {
		out = d.appendNext(out, from)
	}
	if d.failed || len(d.rest) > 0 || !bytes.Equal(Digest(out), digest) {
		return nil, ErrInvalid
	}
	return out, nil
}

// encoder writes a difference.
type encoder struct {
	to      []byte
	encoded int // bytes of to that out covers
	out     []byte
}

// copyRange encodes the longest range around a match of an earlier body at an offset, and returns where it ends.
func (e *encoder) copyRange(from []byte, offset, at int) (end int) {
	for at > e.encoded && offset > 0 && e.to[at-1] == from[offset-1] {
		at, offset = at-1, offset-1
	}
	n := 0
	for at+n < len(e.to) && offset+n < len(from) && e.to[at+n] == from[offset+n] {
		n++
	}
	e.literal(at)
	e.out = binary.AppendUvarint(e.out, uint64(n))
	e.out = binary.AppendUvarint(e.out, uint64(offset))
	e.encoded = at + n
	return e.encoded
}

// literal encodes the new bytes up to an offset.
func (e *encoder) literal(until int) {
	e.out = binary.AppendUvarint(e.out, uint64(until-e.encoded))
	e.out = append(e.out, e.to[e.encoded:until]...)
	e.encoded = until
}

func (e *encoder) finish() {
	if e.encoded == len(e.to) {
		return
	}
	e.literal(len(e.to))
	e.out = append(e.out, 0, 0)
}

// decoder reads a difference.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) number() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

// appendNext appends a range of new bytes and a copied one. They must fit into the capacity of out.
func (d *decoder) appendNext(out, from []byte) []byte {
	literal := d.number()
	if literal > uint64(len(d.rest)) || literal > uint64(cap(out)-len(out)) {
		d.failed = true
		return out
	}
	out = append(out, d.rest[:literal]...)
	d.rest = d.rest[literal:]
	length, offset := d.number(), d.number()
	if offset > uint64(len(from)) || length > uint64(len(from))-offset || length > uint64(cap(out)-len(out)) {
		d.failed = true
		return out
	}
	d.failed = d.failed || literal+length == 0 // would not end
	return append(out, from[offset:offset+length]...)
}
