// Package freeport finds loopback addresses for processes that tests and the soak start.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// Ports below the range from which Linux draws those of outgoing connections; such a connection could
	// otherwise take the port of a process that is down.
	firstPort = 10_000
	lastPort  = 32_000
)

// nextPort starts at a random port, so that processes at the same time seldom meet. The operating system would
// give a port out again as soon as it is free, so that two listeners could get the same one.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(rand.IntN(lastPort - firstPort))) }

// Address returns an address on loopback that nothing listens on and that no other call returns until all ports
// have been tried.
func Address() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		return address, errors.Wrap(l.Close(), "free a port")
	}
	return "", errors.Newf("no port from %d to %d is free; end other programs that listen there", firstPort, lastPort-1)
}
