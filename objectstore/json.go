package objectstore

import (
	"bytes"
	"encoding/json"
)

// SameJSON reports whether two JSON documents are the same except for white space.
func SameJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}
