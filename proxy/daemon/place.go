package daemon

import (
	"net/netip"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
)

// AddressMismatchError is the error of an instance list that this instance can't belong to with the peer
// address that it has.
type AddressMismatchError struct {
	Instance string // name in the list
	Listed   string // its peer address there, IP:port
	Self     string // peer address of this instance, IP:port
}

// Error implements error.
func (e *AddressMismatchError) Error() string {
	return "the platform's list names instance " + e.Instance + " at " + e.Listed + ", but this instance listens for peers on " +
		e.Self + "; start it with the --peer-listen address that the list names for it, or wait until the list is up to date"
}

// checkListedAddress refuses a list that names this instance at other addresses only, or whose instances
// can't reach this one because it listens on a loopback address. Two instances that listen on the
// same loopback address of different machines would each take the fractions recorded for that
// address for their own and admit more than the accounts' rates.
func checkListedAddress(list []objectstore.Instance, id, self string) error {
	var wrong *objectstore.Instance
	for _, i := range list {
		if i.PeerAddress == self {
			return nil
		}
		if i.ID == id || wrong == nil && isLoopback(self) && !isLoopback(i.PeerAddress) {
			wrong = &i
		}
	}
	if wrong == nil {
		return nil
	}
	return &AddressMismatchError{Instance: wrong.ID, Listed: wrong.PeerAddress, Self: self}
}

func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}
