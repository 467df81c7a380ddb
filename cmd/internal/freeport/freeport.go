// Package freeport finds free loopback addresses for processes that tests and the soak test start.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// Ports below the ephemeral range of Linux. An outgoing connection could otherwise use the port of a
	// process that is down.
	firstPort = 10_000
	// LastPort is the first port above those that are used.
	LastPort = 32_000
)

// nextPort is the offset of the last tried port. It starts at random so that concurrent processes rarely collide.
// Ports are not requested from the operating system, because it reassigns a port as soon as it is free and two
// listeners could get the same one.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(rand.IntN(LastPort - firstPort))) }

// Address returns a loopback address on which nothing listens. No other call in this process returns it until all
// ports have been tried.
func Address() (string, error) {
	for range LastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(LastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		return address, errors.Wrap(l.Close(), "close a probe listener")
	}
	return "", errors.Newf("no port from %d to %d is free; end other programs that listen there", firstPort, LastPort-1)
}
