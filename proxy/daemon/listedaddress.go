package daemon

import (
	"net/netip"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
)

// AddressMismatchError reports that the platform's instance list does not fit the peer address of this
// instance.
type AddressMismatchError struct {
	Instance string // ID in the list
	Listed   string // its peer address in the list, IP:port
	Self     string // peer address of this instance, IP:port
}

// Error implements error.
func (e *AddressMismatchError) Error() string {
	return "the platform's list names instance " + e.Instance + " at " + e.Listed + ", but this instance listens for peers on " +
		e.Self + "; start it with the --peer-listen address that the list names for it, or wait until the list is up to date"
}

// checkListedAddress rejects a list that has this instance only at other addresses, or whose instances
// can't reach this one because it listens on a loopback address. Two instances that listen on the
// same loopback address of different machines would each use the fractions recorded for that
// address and together admit more than the accounts' rates.
func checkListedAddress(list []objectstore.Instance, id, self string) error {
	var mismatch *objectstore.Instance
	for _, instance := range list {
		if instance.PeerAddress == self {
			return nil
		}
		if instance.ID == id || mismatch == nil && isLoopback(self) && !isLoopback(instance.PeerAddress) {
			mismatch = &instance
		}
	}
	if mismatch == nil {
		return nil
	}
	return &AddressMismatchError{Instance: mismatch.ID, Listed: mismatch.PeerAddress, Self: self}
}

func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}
