package routing

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// Marks remembers positions of the primary for staleness bounds. The zero Marks is ready.
type Marks struct {
	ring  [marksKept]mark
	next  int
	count int
}

// marksKept and markSpacing let a ring reach 64 s back.
const (
	marksKept   = 256
	markSpacing = 250 * time.Millisecond
)

// mark tells that every write confirmed before at is at or before position.
type mark struct {
	at       time.Duration
	position position.Position
}

// Add notes the primary's position p from a round in which a majority showed its term unfenced.
// At is the time before the first probe of that round was sent: the term was not superseded
// then, and the primary had not passed p. Marks closer than markSpacing are dropped.
func (m *Marks) Add(at time.Duration, p position.Position) {
	if m.count > 0 && at-m.newest().at < markSpacing {
		return
	}
	m.ring[m.next] = mark{at: at, position: p}
	m.next = (m.next + 1) % marksKept
	m.count = min(m.count+1, marksKept)
}

func (m *Marks) newest() mark {
	return m.ring[(m.next+marksKept-1)%marksKept]
}

// Since returns a position at or past everything confirmed before at: the oldest mark that is
// not before at. Without such a mark nothing is proven and it returns false.
func (m *Marks) Since(at time.Duration) (position.Position, bool) {
	for i := range m.count {
		k := m.ring[(m.next+marksKept-m.count+i)%marksKept]
		if k.at >= at {
			return k.position, true
		}
	}
	return position.Position{}, false
}
