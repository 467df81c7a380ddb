package dbgroup

import (
	"bytes"
	"testing"
)

// Guards against a server's row that crashes the process or yields a state with a negative age.
func FuzzParseState(f *testing.F) {
	f.Add([]byte("s1|7|primary|2|0||41|[{\"term\":1,\"start\":0}]|0"))
	f.Add([]byte("s1|7|replica|2|3|a/b|41|[]|18446744073709551615"))
	f.Add([]byte("s1|-1|primary|x|0||41|{}|0"))
	f.Add([]byte("s1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := ParseState(bytes.Split(text, []byte("|")))
		if err == nil && s.PrimaryContactAge < 0 {
			t.Errorf("age is %s, want no negative age", s.PrimaryContactAge)
		}
	})
}
