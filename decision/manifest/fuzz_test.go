package manifest

import (
	"encoding/hex"
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

// Guards against a difference from a peer that ends the process, or that brings a manifest into force whose
// content is not the one that it announces.
func FuzzApplyDelta(f *testing.F) {
	from := mustSnapshot(f, testManifest(1))
	m := testManifest(2)
	m.Accounts[0].Rate++
	to := mustSnapshot(f, m)
	d, _ := NewDelta(from, to)
	whole, err := json.Marshal(d)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add([]byte(`{"from":1,"to":2,"sum":"","accounts":{"gone":["a","a"],"put":[{"name":"a"},{"name":"a"}]}}`))
	f.Add([]byte(`{"from":1,"to":18446744073709551615,"databases":{"put":[{"servers":null}]}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, doc []byte) {
		got, err := from.Apply([][]byte{doc})
		if err != nil {
			return
		}
		var told Delta
		if err := json.Unmarshal(doc, &told); err != nil || told.Digest != hex.EncodeToString(got.digest[:]) || got.Version() != told.To {
			t.Fatalf("version %d came into force by %s", got.Version(), doc)
		}
	})
}
