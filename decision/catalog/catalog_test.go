package catalog

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
)

func key(text string) manifest.Key {
	hash := manifest.HashKey(text).String()
	return manifest.Key{ID: hash[:8], SHA256: hash}
}

// Guards against requests that run for an account other than the holder of the key, or without a key.
func TestAuthorize(t *testing.T) {
	s := NewSnapshot(Catalog{
		Version:  3,
		Routes:   []Route{{Name: "orders", Database: "db"}, {Name: "public", Database: "db", Open: true}},
		Accounts: []manifest.Account{{Name: "a", Keys: []manifest.Key{key("ka")}}, {Name: "b", Keys: []manifest.Key{key("kb1"), key("kb2")}}},
	})
	for _, c := range []struct {
		route, key, account string
		refusal             Refusal
	}{
		{"orders", "ka", "a", Granted},
		{"orders", "kb2", "b", Granted},
		{"orders", "", "", WrongKey},
		{"orders", "other", "", WrongKey},
		{"public", "other", "", Granted},
		{"gone", "ka", "", UnknownRoute},
	} {
		grant, refusal := s.Authorize(c.route, manifest.HashKey(c.key))
		if refusal != c.refusal || grant.Account != c.account {
			t.Errorf("route %q with key %q: wrong result: account %q, refusal %d", c.route, c.key, grant.Account, refusal)
		}
	}
}

// Guards against keys that stay trusted because an older answer of the store, which may predate a withdrawal, counts
// as recent.
func TestFreshness(t *testing.T) {
	const second = time.Second
	var f Freshness
	if f.ConfirmedWithin(0, time.Hour) {
		t.Error("zero Freshness reports a confirmation")
	}
	f.Confirm(30 * second)
	f.Confirm(12 * second) // an older answer that arrives later
	if !f.ConfirmedWithin(34*second, 4*second) || f.ConfirmedWithin(34*second+1, 4*second) {
		t.Error("age is not measured from the latest confirmation")
	}
}
