package catalog

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
)

func key(text string) manifest.Key {
	sum := manifest.HashKey(text).String()
	return manifest.Key{ID: sum[:8], SHA256: sum}
}

// Guards against requests that run for another account than the holder of the key, or without a key.
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
			t.Errorf("route %q with key %q: account %q, refusal %d", c.route, c.key, grant.Account, refusal)
		}
	}
}

// Guards against trust in keys that rests on an answer which the store gave before a withdrawal.
func TestFreshness(t *testing.T) {
	const second = time.Second
	var f Freshness
	if f.ConfirmedWithin(0, time.Hour) {
		t.Error("fresh before any answer")
	}
	f.Confirm(30 * second)
	f.Confirm(12 * second) // an answer that was overtaken
	if !f.ConfirmedWithin(34*second, 4*second) || f.ConfirmedWithin(34*second+1, 4*second) {
		t.Error("the age does not count from the newest proof")
	}
}
