package connlimit

import (
	"math"
	"time"
)

const (
	// oversubscription is the number of statements sent to a server per slot: one that runs and one that is ready
	// when the slot becomes free. More would only queue at the server, in order of arrival.
	oversubscription = 2
	// maxOversubscription bounds the statements per slot of a server with a long round trip. With 40 ms between regions
	// they keep a slot filled if each takes more than 6 ms.
	maxOversubscription = 8
	// linkSmoothing is the weight of a new measurement in the moving averages of a Link.
	linkSmoothing = 0.1
	// maxWeight is the weight of the highest priority; that of the lowest is 1.
	maxWeight = 8
)

// MaxExecutions returns how many statements one instance may have outstanding at a server whose slots it shares with
// other instances.
func MaxExecutions(slots, instances int) int {
	n := max(instances, 1)
	return max((oversubscription*slots+n-1)/n, 1)
}

// Weight returns the scheduling weight of a priority, where 0 is the highest. Lower priorities get less of a busy
// server but are not starved.
func Weight(priority int) int {
	return max(maxWeight>>max(priority, 0), 1)
}

// Link measures the round trip to a server and how long the server works on a statement. The zero value is unknown.
type Link struct {
	roundTrip, service time.Duration
}

// Connected records the round trip of a new connection. A longer one counts less, since it includes delays of the
// machine.
func (l *Link) Connected(roundTrip time.Duration) {
	if l.roundTrip == 0 || roundTrip < l.roundTrip {
		l.roundTrip = roundTrip
		return
	}
	l.roundTrip += time.Duration(linkSmoothing * float64(roundTrip-l.roundTrip))
}

// Ran records a statement that took the given time at a connection while inFlight statements, this one included, were at
// the server or on their way.
func (l *Link) Ran(took time.Duration, inFlight, slots int) {
	l.roundTrip = min(l.roundTrip, took) // the first connection may have been delayed by the machine
	atServer := took - l.roundTrip
	// Statements at the server per slot: a statement in flight is at the server for atServer of the time that it took.
	load := float64(inFlight) * float64(atServer) / float64(max(took, 1)) / float64(max(slots, 1))
	service := time.Duration(float64(atServer) / max(load, 1))
	if l.service == 0 {
		l.service = service
		return
	}
	l.service += time.Duration(linkSmoothing * float64(service-l.service))
}

// MaxExecutions returns how many statements one instance may have outstanding at a server that it alone uses: while one
// runs in a slot, those of the next round trip are under way.
func (l *Link) MaxExecutions(slots int) int {
	least := MaxExecutions(slots, 1)
	if l.service <= 0 || l.roundTrip <= l.service {
		return least
	}
	perSlot := min(1+float64(l.roundTrip)/float64(l.service), maxOversubscription)
	return max(int(math.Ceil(perSlot*float64(slots))), least)
}
