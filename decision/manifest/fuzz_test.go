package manifest

import (
	"encoding/json"
	"testing"
)

// Guards against a document that ends the process, or that passes the checks and then can't be put in
// force or changes when it is written and read again.
func FuzzParse(f *testing.F) {
	f.Add([]byte("apiVersion: cyclamenstile/v1\nversion: 1\n"))
	f.Add([]byte(`{"apiVersion":"cyclamenstile/v1","version":2,"routes":[{"name":"a","database":"b","readWait":"5s"}]}`))
	f.Add([]byte("\x1f\x8b\x08\x00"))
	f.Add([]byte("version: -1\nroutes: {"))
	f.Fuzz(func(t *testing.T, doc []byte) {
		m, err := Parse(doc)
		if err != nil {
			return
		}
		if _, err := NewSnapshot(m); err != nil {
			t.Fatalf("a valid manifest can't be put in force: %v", err)
		}
		text, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(text)
		if err != nil || again.Digest() != m.Digest() {
			t.Fatalf("written and read again: digest %v, want %v, error %v", again.Digest(), m.Digest(), err)
		}
	})
}
