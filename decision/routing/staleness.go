package routing

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// PrimaryPositions is a ring of recent positions of the primary, used for staleness bounds. The zero
// value is ready to use.
type PrimaryPositions struct {
	ring  [maxPositions]confirmedPosition
	next  int
	count int
}

// With these values a full ring reaches 64 s back.
const (
	maxPositions        = 256
	minPositionInterval = 250 * time.Millisecond
)

// confirmedPosition states that every write confirmed before at is at or before position.
type confirmedPosition struct {
	at       time.Duration
	position position.Position
}

// Add records the primary's position pos, reported in a probe round in which a majority showed that
// it had not fenced the primary's term. At is a time before the first probe of that round was sent: at
// that time the term was not superseded and the primary was not past pos. A position recorded less than
// minPositionInterval after the newest one is ignored.
func (p *PrimaryPositions) Add(at time.Duration, pos position.Position) {
	if p.count > 0 && at-p.newest().at < minPositionInterval {
		return
	}
	p.ring[p.next] = confirmedPosition{at: at, position: pos}
	p.next = (p.next + 1) % maxPositions
	p.count = min(p.count+1, maxPositions)
}

func (p *PrimaryPositions) newest() confirmedPosition {
	return p.ring[(p.next+maxPositions-1)%maxPositions]
}

// FloorAt returns a position that includes everything confirmed before at: the oldest recorded
// position whose time is not before at. It returns false if there is none.
func (p *PrimaryPositions) FloorAt(at time.Duration) (position.Position, bool) {
	for i := range p.count {
		entry := p.ring[(p.next+maxPositions-p.count+i)%maxPositions]
		if entry.at >= at {
			return entry.position, true
		}
	}
	return position.Position{}, false
}
