package bodydelta

import "bytes"

// hashBase is the factor of the rolling hash, a prime well above the values of a byte.
const hashBase = 16777619

// blockIndex finds the blocks of a body in another one by a rolling hash.
type blockIndex struct {
	body    []byte
	size    int // of a block
	drop    uint32
	offsets map[uint32]int // of the first block with a hash
}

func newBlockIndex(body []byte) blockIndex {
	x := blockIndex{body: body, size: max(minBlockBytes, (len(body)+maxBlocks-1)/maxBlocks), offsets: map[uint32]int{}}
	x.drop = 1
	for range x.size {
		x.drop *= hashBase
	}
	for at := 0; at+x.size <= len(body); at += x.size {
		hash := x.hashAt(body, at)
		if _, known := x.offsets[hash]; !known {
			x.offsets[hash] = at
		}
	}
	return x
}

// hashAt returns the hash of the block at an offset.
func (x blockIndex) hashAt(data []byte, at int) uint32 {
	var hash uint32
	for _, b := range data[at : at+x.size] {
		hash = hash*hashBase + uint32(b)
	}
	return hash
}

// roll moves a hash on by one byte.
func (x blockIndex) roll(hash uint32, leaving, entering byte) uint32 {
	return hash*hashBase + uint32(entering) - x.drop*uint32(leaving)
}

// matches reports whether the block at an offset, which has a hash, is in the indexed body.
func (x blockIndex) matches(hash uint32, data []byte, at int) bool {
	offset, known := x.offsets[hash]
	return known && bytes.Equal(x.body[offset:offset+x.size], data[at:at+x.size])
}
