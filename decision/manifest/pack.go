package manifest

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// compressThresholdBytes is the size above which a JSON document is compressed in the store. The
	// store accepts objects of up to 1 MiB; 3,100 databases with three servers each are 2 MB of JSON.
	compressThresholdBytes = 256 << 10
	// maxDocumentBytes bounds the size of a decompressed document.
	maxDocumentBytes = 16 << 20
)

// gzipMagic is the prefix of every gzip stream (RFC 1952) and of no YAML or JSON document.
var gzipMagic = []byte{0x1f, 0x8b}

// Pack encodes m as it is kept in the store: JSON, compressed with gzip if it is large. Equal
// manifests give equal bytes.
func (m Manifest) Pack() ([]byte, error) {
	doc, err := m.Encode()
	if err != nil || len(doc) <= compressThresholdBytes {
		return doc, err
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(doc); err != nil {
		return nil, errors.Wrap(err, "compress the manifest")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the manifest")
	}
	return packed.Bytes(), nil
}

func decompress(doc []byte) ([]byte, error) {
	if !bytes.HasPrefix(doc, gzipMagic) {
		return doc, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(doc))
	if err != nil {
		return nil, errors.Wrap(err, "compressed document is damaged")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "compressed document is damaged")
	}
	if len(plain) > maxDocumentBytes {
		return nil, errors.Newf("document exceeds %d bytes", maxDocumentBytes)
	}
	return plain, nil
}
