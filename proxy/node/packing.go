package node

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/node/relaypb"
)

const (
	// minPackedBytes is the encoded size from which objects are compressed. Below it, compression saves less than a packet.
	minPackedBytes = 1 << 10
	// maxUnpackedBytes bounds what packed objects decode to: the largest object with its name. Longer lists travel unpacked.
	maxUnpackedBytes = objectstore.MaxValueBytes + 64<<10
	// packLevel is a gzip level. A compressor allocates 0.9 MB at levels 2 to 6 and 1.3 MB at level 1. Level 3 takes a third
	// of the time of level 6 and reduces routes to a tenth.
	packLevel = 3
	// gzipSizeBytes is the length of the uncompressed size at the end of gzip data.
	gzipSizeBytes = 4
)

// errUndecodable is returned for a reply whose objects can't be decoded.
var errUndecodable = errors.New("the relay's reply can't be decoded; see whether its version differs")

// packing is held while a compressor exists, so that an instance has one at a time and keeps none.
var packing sync.Mutex

// packedObjects are objects in the form in which they travel to followers that accept packed ones.
type packedObjects struct {
	packed  []byte
	objects []*relaypb.Object // if packed is empty; not modified, as replies share them
}

// packObjects compresses objects if they are large enough.
func packObjects(objects []*relaypb.Object) packedObjects {
	size := proto.Size(&relaypb.FollowReply{Objects: objects})
	if size < minPackedBytes || size > maxUnpackedBytes {
		return packedObjects{objects: objects}
	}
	packed, err := compress(objects)
	if err != nil || len(packed) >= size {
		return packedObjects{objects: objects}
	}
	return packedObjects{packed: packed}
}

func compress(objects []*relaypb.Object) ([]byte, error) {
	encoded, err := proto.Marshal(&relaypb.FollowReply{Objects: objects})
	if err != nil {
		return nil, errors.Wrap(err, "encode objects for followers")
	}
	packing.Lock()
	defer packing.Unlock()
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, packLevel)
	if err != nil {
		return nil, errors.Wrap(err, "compress objects for followers")
	}
	_, err = w.Write(encoded)
	err = errors.CombineErrors(err, w.Close())
	return bytes.Clone(out.Bytes()), errors.Wrap(err, "compress objects for followers")
}

// unpackObjects decodes packed objects. It allocates at most maxUnpackedBytes for them and returns errUndecodable if they are
// damaged.
func unpackObjects(packed []byte) ([]*relaypb.Object, error) {
	encoded, err := decompress(packed)
	if err != nil {
		return nil, errors.Mark(err, errUndecodable)
	}
	var reply relaypb.FollowReply
	if err := proto.Unmarshal(encoded, &reply); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode packed objects"), errUndecodable)
	}
	return reply.GetObjects(), nil
}

func decompress(packed []byte) ([]byte, error) {
	if len(packed) < gzipSizeBytes {
		return nil, errors.New("packed objects are cut off")
	}
	size := binary.LittleEndian.Uint32(packed[len(packed)-gzipSizeBytes:])
	if size > maxUnpackedBytes {
		return nil, errors.Newf("packed objects have %d bytes, above the limit of %d", size, maxUnpackedBytes)
	}
	in := bytes.NewReader(packed)
	r, err := gzip.NewReader(in)
	if err != nil {
		return nil, errors.Wrap(err, "decompress packed objects")
	}
	r.Multistream(false)
	out := make([]byte, size)
	if _, err := io.ReadFull(r, out); err != nil {
		return nil, errors.Wrap(err, "decompress packed objects")
	}
	// The checksum is verified at the end of the data.
	if n, err := r.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) || in.Len() > 0 {
		return nil, errors.Newf("packed objects are longer than they announce, or damaged: %v", err)
	}
	return out, nil
}

// decodeObjects returns the objects of a reply, packed or not. present returns the objects that this instance has.
func decodeObjects(reply *relaypb.FollowReply, present func(name string) (platform.Object, bool)) ([]platform.Object, error) {
	if len(reply.GetPacked()) == 0 {
		return applyDeltas(reply.GetObjects(), present)
	}
	objects, err := unpackObjects(reply.GetPacked())
	if err != nil {
		return nil, err
	}
	return applyDeltas(objects, present)
}
