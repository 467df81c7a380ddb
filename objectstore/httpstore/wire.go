package httpstore

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
)

// Paths of the store's HTTP interface. A listing is a GET of ObjectsPath without a key.
const (
	ObjectsPath = "/v1/objects"
	WatchPath   = "/v1/watch"
)

// Query parameters of a listing and of a watch.
const (
	ParamPrefix = "prefix"
	ParamAfter  = "after" // decimal revision
	ParamWait   = "wait"  // Go duration, such as "3s"
)

// Change is one object in the body of a listing or of a watch.
type Change struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"` // base64 on the wire
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Changes is the body of a listing or of a watch. Revision is the store's revision at that moment.
type Changes struct {
	Revision uint64   `json:"revision"`
	Objects  []Change `json:"objects"`
}

// FormatETag formats a version as a strong entity tag.
func FormatETag(version uint64) string {
	return strconv.Quote(strconv.FormatUint(version, 10))
}

// ParseETag parses the version in a strong entity tag.
func ParseETag(tag string) (uint64, error) {
	digits, hasPrefix := strings.CutPrefix(tag, `"`)
	digits, hasSuffix := strings.CutSuffix(digits, `"`)
	if !hasPrefix || !hasSuffix {
		return 0, errors.Newf("entity tag %q is not a quoted version; check that the address is that of the store", tag)
	}
	v, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, errors.Newf("entity tag %q is not a decimal version; check that the address is that of the store", tag)
	}
	return v, nil
}

// ErrBadKey reports a key that can't be used in a URL path.
var ErrBadKey = errors.New("object key is not valid; use non-empty segments other than . and .. separated by /")

// objectPath returns the escaped path of key. It rejects segments such as "..", which HTTP clients and
// servers normalise, so that the path would refer to another object.
func objectPath(key string) (string, error) {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		if p == "" || p == "." || p == ".." {
			return "", errors.Wrapf(ErrBadKey, "key %q", key)
		}
		parts[i] = url.PathEscape(p)
	}
	return ObjectsPath + "/" + strings.Join(parts, "/"), nil
}

func (c Changes) objects() []objectstore.Object {
	out := make([]objectstore.Object, 0, len(c.Objects))
	for _, o := range c.Objects {
		out = append(out, objectstore.Object(o))
	}
	return out
}
