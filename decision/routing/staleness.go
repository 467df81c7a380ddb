package routing

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// PrimaryPositions remembers positions of the primary for staleness bounds. The zero Marks is ready.
type PrimaryPositions struct {
	ring  [maxPositions]confirmedPosition
	next  int
	count int
}

// maxPositions and minPositionInterval let a ring reach 64 s back.
const (
	maxPositions        = 256
	minPositionInterval = 250 * time.Millisecond
)

// confirmedPosition tells that every write confirmed before at is at or before position.
type confirmedPosition struct {
	at       time.Duration
	position position.Position
}

// Add notes the primary's position p from a round in which a majority showed its term unfenced.
// At is the time before the first probe of that round was sent: the term was not superseded
// then, and the primary had not passed p. Marks closer than minPositionInterval are dropped.
func (m *PrimaryPositions) Add(at time.Duration, p position.Position) {
	if m.count > 0 && at-m.newest().at < minPositionInterval {
		return
	}
	m.ring[m.next] = confirmedPosition{at: at, position: p}
	m.next = (m.next + 1) % maxPositions
	m.count = min(m.count+1, maxPositions)
}

func (m *PrimaryPositions) newest() confirmedPosition {
	return m.ring[(m.next+maxPositions-1)%maxPositions]
}

// FloorAt returns a position at or past everything confirmed before at: the oldest mark that is
// not before at. Without such a mark nothing is proven and it returns false.
func (m *PrimaryPositions) FloorAt(at time.Duration) (position.Position, bool) {
	for i := range m.count {
		k := m.ring[(m.next+maxPositions-m.count+i)%maxPositions]
		if k.at >= at {
			return k.position, true
		}
	}
	return position.Position{}, false
}
