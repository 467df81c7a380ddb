package pool

import (
	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// Usage is a snapshot of the use of one server's slots and connections.
type Usage struct {
	Server      authority.ServerID
	Idle        int    // open connections that are idle in the pool
	InUse       int    // open connections that run a statement or belong to a transaction
	SlotsInUse  int    // statements that run or are about to be sent
	Waiting     int    // statements that wait for a slot or a connection
	OpenedTotal uint64 // connections opened since the server was added to the pool
}

// Usage returns the usage of each server that this pool has opened a connection to or has a request for.
func (p *Pool) Usage() []Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []Usage
	for id, s := range p.servers {
		if u := s.usage(); u != (Usage{}) {
			u.Server = id
			all = append(all, u)
		}
	}
	return all
}

func (s *server) usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots, _ := s.queue.InUse()
	return Usage{
		Idle:        len(s.idle),
		InUse:       len(s.inUse),
		SlotsInUse:  slots,
		Waiting:     s.queue.Waiting(),
		OpenedTotal: s.openedTotal,
	}
}

func (s *server) countOpened() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openedTotal++
}
