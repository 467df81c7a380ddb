package catalog

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
)

func key(text string) manifest.Key {
	sum := manifest.SumKey(text).String()
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
		grant, refusal := s.Authorize(c.route, manifest.SumKey(c.key))
		if refusal != c.refusal || grant.Account != c.account {
			t.Errorf("route %q with key %q: account %q, refusal %d", c.route, c.key, grant.Account, refusal)
		}
	}
}

// Guards against trust in keys that rests on an answer which the store gave before a withdrawal.
func TestFreshness(t *testing.T) {
	const second = time.Second
	var f Freshness
	if _, known := f.Age(0); known {
		t.Error("freshness is known before any answer")
	}
	f.Waited(10*second, 0, 11*second)
	if age, _ := f.Age(11 * second); age != second {
		t.Errorf("age after a list is %s, want the time since it was sent", age)
	}
	// A watch that was cut off after 1 s of 2 proves only the time of sending.
	f.Waited(20*second, 2*second, 21*second)
	if age, _ := f.Age(21 * second); age != second {
		t.Errorf("age after a short watch is %s", age)
	}
	// The answer of a full watch may be on its way for long; the store has waited until 32 s at least.
	f.Waited(30*second, 2*second, 35*second)
	if age, _ := f.Age(35 * second); age != 3*second {
		t.Errorf("age after a late answer is %s", age)
	}
	f.Waited(12*second, 0, 36*second)
	if age, _ := f.Age(36 * second); age != 4*second {
		t.Errorf("age after an answer that was overtaken is %s", age)
	}
}
