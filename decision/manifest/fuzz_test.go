package manifest

import (
	"encoding/hex"
	"encoding/json"
	"testing"
)

// Guards against a document that crashes the process, or that is valid but then can't be indexed or
// changes when it is encoded and parsed again.
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
			t.Fatalf("NewSnapshot of a valid manifest: %v", err)
		}
		text, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(text)
		if err != nil || again.Digest() != m.Digest() {
			t.Fatalf("encoded and parsed again: digest %v, want %v, error %v", again.Digest(), m.Digest(), err)
		}
	})
}

// Guards against a delta from a peer that crashes the process, or that gives a manifest other than the
// announced one.
func FuzzApplyDelta(f *testing.F) {
	from := mustSnapshot(f, testManifest(1))
	m := testManifest(2)
	m.Accounts[0].Rate++
	to := mustSnapshot(f, m)
	d, _ := NewDelta(from, to)
	encoded, err := json.Marshal(d)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add([]byte(`{"from":1,"to":2,"sum":"","accounts":{"gone":["a","a"],"put":[{"name":"a"},{"name":"a"}]}}`))
	f.Add([]byte(`{"from":1,"to":18446744073709551615,"databases":{"put":[{"servers":null}]}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, doc []byte) {
		got, err := from.Apply([][]byte{doc})
		if err != nil {
			return
		}
		var delta Delta
		if err := json.Unmarshal(doc, &delta); err != nil || delta.Digest != hex.EncodeToString(got.digest[:]) || got.Version() != delta.To {
			t.Fatalf("version %d does not match the delta %s", got.Version(), doc)
		}
	})
}
