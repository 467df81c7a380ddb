package daemon

import (
	"errors"
	"testing"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
)

// Guards against two instances that listen on the same address of different machines and each use the
// other's fraction of the accounts' rates, and against rejecting a list that is only out of date.
func TestCheckListedAddress(t *testing.T) {
	const self = "127.0.0.1:6433"
	for name, c := range map[string]struct {
		list   []objectstore.Instance
		listed string // address of the error, empty for none
	}{
		"not listed yet":                {list: []objectstore.Instance{{ID: "b", PeerAddress: "127.0.0.1:6533"}}},
		"loopback among others":         {list: []objectstore.Instance{{ID: "b", PeerAddress: "10.0.0.2:6433"}}, listed: "10.0.0.2:6433"},
		"listed here":                   {list: []objectstore.Instance{{ID: "a", PeerAddress: self}}},
		"predecessor's name":            {list: []objectstore.Instance{{ID: "b", PeerAddress: self}}},
		"old and new address":           {list: []objectstore.Instance{{ID: "a", PeerAddress: "127.0.0.1:6533"}, {ID: "a", PeerAddress: self}}},
		"listed at another address":     {list: []objectstore.Instance{{ID: "a", PeerAddress: "10.0.0.1:6433"}}, listed: "10.0.0.1:6433"},
		"listed elsewhere among others": {list: []objectstore.Instance{{ID: "a", PeerAddress: "10.0.0.1:6433"}, {ID: "b", PeerAddress: "10.0.0.2:6433"}}, listed: "10.0.0.1:6433"},
	} {
		t.Run(name, func(t *testing.T) {
			err := checkListedAddress(c.list, "a", self)
			var mismatch *AddressMismatchError
			if !errors.As(err, &mismatch) {
				mismatch = &AddressMismatchError{}
			}
			if mismatch.Listed != c.listed || (err == nil) != (c.listed == "") {
				t.Errorf("error %v, want one with listed address %q, none if empty", err, c.listed)
			}
		})
	}
}
