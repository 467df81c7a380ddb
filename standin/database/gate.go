package database

import "sync/atomic"

// gate blocks goroutines in wait while it is closed.
type gate struct {
	closed atomic.Pointer[chan struct{}]
}

func (g *gate) close() {
	ch := make(chan struct{})
	g.closed.CompareAndSwap(nil, &ch)
}

func (g *gate) open() {
	if ch := g.closed.Swap(nil); ch != nil {
		close(*ch)
	}
}

// wait returns true once the gate is open, or false if stop is closed first.
func (g *gate) wait(stop <-chan struct{}) bool {
	for {
		ch := g.closed.Load()
		if ch == nil {
			return true
		}
		select {
		case <-*ch:
		case <-stop:
			return false
		}
	}
}
