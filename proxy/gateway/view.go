package gateway

import (
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// view is the shared state of one database: a placement group with a lock and a change notification.
type view struct {
	name string
	now  func() time.Duration

	mu      sync.Mutex
	group   *placement.Group
	changed chan struct{} // closed and replaced when another server may be chosen
	// sampling is closed when the pending call for the leader's position ends; nil without one.
	sampling chan struct{}
}

func newView(name string, local placement.Locality, now func() time.Duration) *view {
	return &view{name: name, now: now, group: placement.NewGroup(local), changed: make(chan struct{})}
}

// withLock calls f with the lock held.
func (v *view) withLock(f func(now time.Duration, g *placement.Group)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(v.now(), v.group)
}

// read calls f with the lock held. It saves the system call for the time.
func (v *view) read(f func(g *placement.Group)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(v.group)
}

// notifyChange unblocks the statements that wait for a server.
func (v *view) notifyChange() {
	v.mu.Lock()
	defer v.mu.Unlock()
	close(v.changed)
	v.changed = make(chan struct{})
}

// changes returns a channel that is closed at the next change.
func (v *view) changes() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *view) register(entries []discovery.Server) {
	v.withLock(func(now time.Duration, g *placement.Group) { g.Register(now, entries) })
	v.notifyChange()
}

func (v *view) leader(exclude []string) (s discovery.Server, ok bool) {
	v.withLock(func(now time.Duration, g *placement.Group) {
		id, found := g.Leader(now, exclude)
		if found {
			s, ok = g.Server(id)
		}
	})
	return s, ok
}

func (v *view) replica(floor position.Position, exclude []string) (s discovery.Server, alone, ok bool) {
	v.withLock(func(now time.Duration, g *placement.Group) {
		var id string
		if id, alone, ok = g.Replica(now, floor, exclude); ok {
			s, ok = g.Server(id)
		}
	})
	return s, alone, ok
}

// floor returns the lowest position that satisfies a staleness bound and is not below own.
func (v *view) floor(staleness time.Duration, own position.Position) (p position.Position, ok bool) {
	v.withLock(func(now time.Duration, g *placement.Group) {
		p, ok = g.Samples.Floor(now, staleness)
	})
	return position.Max(p, own), ok
}

func (v *view) recordSent(id string) {
	v.read(func(g *placement.Group) { g.RecordSent(id) })
}

func (v *view) recordAnswer(id string, took time.Duration, p position.Position) {
	v.withLock(func(now time.Duration, g *placement.Group) { g.RecordAnswer(now, id, took, p) })
}

// recordBacklog records the expected wait at a server's scheduler.
func (v *view) recordBacklog(id string, wait time.Duration) {
	v.withLock(func(now time.Duration, g *placement.Group) { g.RecordBacklog(now, id, wait) })
}

// recordAbandoned ends a request reported with recordSent that got no answer.
func (v *view) recordAbandoned(id string) {
	v.read(func(g *placement.Group) { g.RecordAbandoned(id) })
}

func (v *view) markUnreachable(id string) {
	v.withLock(func(now time.Duration, g *placement.Group) { g.MarkUnreachable(now, id) })
}

func (v *view) markLeader(sent time.Duration, id string, p position.Position) {
	v.withLock(func(now time.Duration, g *placement.Group) { g.MarkLeader(now, sent, id, p) })
}

func (v *view) markNotLeader(id string) {
	v.withLock(func(now time.Duration, g *placement.Group) { g.MarkNotLeader(now, id) })
}

func (v *view) retire(id string) {
	v.withLock(func(now time.Duration, g *placement.Group) { g.Retire(now, id) })
}

func (v *view) hold(id string) {
	v.withLock(func(now time.Duration, g *placement.Group) { g.Hold(now, id) })
}

func (v *view) held(id string) (held bool) {
	v.withLock(func(now time.Duration, g *placement.Group) { held = g.Held(now, id) })
	return held
}

// lead returns the lead for which a server may be used as the leader, or why it must not be.
func (v *view) lead(id string) (lead leaderlease.Lead, why placement.Objection) {
	v.withLock(func(now time.Duration, g *placement.Group) { lead, why = g.Lead(now, id) })
	return lead, why
}

func (v *view) markLagging(id string, lacked position.Position) {
	v.withLock(func(now time.Duration, g *placement.Group) { g.MarkLagging(now, id, lacked) })
}
