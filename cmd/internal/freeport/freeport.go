// Package freeport finds free loopback addresses for processes that tests and the soak test start.
//
// A process takes its ports from blocks that it claims for its lifetime by a listener on the first port of the block. So
// no other process that uses this package gets a port while the process that is to listen there starts or is down.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// Ports below the ephemeral range of Linux. An outgoing connection could otherwise use the port of a
	// process that is down.
	firstPort = 10_000
	// LastPort is the first port above those that are used.
	LastPort = 32_000

	blockSize  = 100 // ports
	blockCount = (LastPort - firstPort) / blockSize
)

// allocator hands out the ports of the blocks that it has claimed.
type allocator struct {
	mu     sync.Mutex
	claims []net.Listener // on the first port of each claimed block; closed only at the end of the process
	ports  []int          // of the claimed blocks, in the order in which they are handed out
	next   int            // index in ports
}

var ports allocator

// Address returns a loopback address on which nothing listens. No other call returns it, in this process or another,
// until the ports of all blocks are claimed; the ports of this process are then handed out again.
func Address() (string, error) {
	return ports.address()
}

func (a *allocator) address() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.nextFree()
	for l == nil && a.claimBlock() {
		l = a.nextFree()
	}
	if l == nil { // all blocks are claimed
		a.next = 0
		l = a.nextFree()
	}
	if l == nil {
		return "", errors.Newf("no port from %d to %d is free; end other programs that listen there", firstPort, LastPort-1)
	}
	return l.Addr().String(), errors.Wrap(l.Close(), "close a probe listener")
}

// nextFree returns a listener on the first free port of those not handed out yet, or nil if there is none.
func (a *allocator) nextFree() net.Listener {
	for a.next < len(a.ports) {
		port := a.ports[a.next]
		a.next++
		if l, err := listen(port); err == nil {
			return l
		}
	}
	return nil
}

// claimBlock claims a block that no process has claimed, and reports whether there is one.
func (a *allocator) claimBlock() bool {
	for _, block := range rand.Perm(blockCount) {
		first := firstPort + block*blockSize
		claim, err := listen(first)
		if err != nil {
			continue
		}
		a.claims = append(a.claims, claim)
		for port := first + 1; port < first+blockSize; port++ {
			a.ports = append(a.ports, port)
		}
		return true
	}
	return false
}

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}
