package group

import (
	"context"
	"sync"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// samples gathers the reads that ask for a sample. Reads that arrive while probes are under way share
// one sample, which the owner begins just before it may order the next probes.
type samples struct {
	mu   sync.Mutex
	next *sample // nil while no read waits for one to begin
	// attended tells that the end of a probe will make the owner look at open, so that it need not
	// be woken.
	attended bool
}

// sample is a floor that several reads wait for.
type sample struct {
	group   *Group
	done    chan struct{} // closed once result is set
	result  resolution
	waiting int                // reads; guarded by samples.mu
	id      authority.WaiterID // belongs to the owner; 0 until the sample has begun
}

// joinSample joins the sample that begins next; it returns false when ctx ended or the group stopped.
func (g *Group) joinSample(ctx context.Context) (*sample, bool) {
	g.samples.mu.Lock()
	s := g.samples.next
	if s == nil {
		s = &sample{group: g, done: make(chan struct{})}
		g.samples.next = s
	}
	s.waiting++
	attended := g.samples.attended
	g.samples.mu.Unlock()
	if !attended && !g.post(ctx, func() {}) {
		s.leave()
		return nil, false
	}
	return s, true
}

// await waits for the floor; ok is false when ctx ended or the group stopped.
func (s *sample) await(ctx context.Context) (r resolution, ok bool) {
	select {
	case <-s.done:
		return s.result, true
	default:
	}
	select {
	case <-s.done:
		return s.result, true
	case <-s.group.stopped:
	case <-ctx.Done():
		s.leave()
	}
	return r, false
}

// leave gives the sample up for one read, and ends it if no other waits.
func (s *sample) leave() {
	g := s.group
	g.samples.mu.Lock()
	s.waiting--
	abandoned := s.waiting == 0
	g.samples.mu.Unlock()
	if abandoned {
		g.post(context.Background(), s.cancelIfUnused)
	}
}

// cancelIfUnused ends the sample unless a read has joined it since it was given up.
func (s *sample) cancelIfUnused() {
	g := s.group
	g.samples.mu.Lock()
	waiting := s.waiting
	g.samples.mu.Unlock()
	if waiting == 0 {
		g.cancelWaiter(s.id)
	}
}

// beginSample begins the sample of the reads that have arrived. It has to come before any step that
// may order probes, since only those ordered from then on count.
func (g *Group) beginSample() {
	g.samples.mu.Lock()
	s := g.samples.next
	g.samples.next, g.samples.attended = nil, false
	wanted := s != nil && s.waiting > 0
	g.samples.mu.Unlock()
	if !wanted {
		return
	}
	s.id = g.addWaiter(authority.Waiter{Mode: authority.ModeSample}, func(r resolution) {
		s.result = r
		close(s.done)
	})
	g.machine.RequestProbes()
}

// updateSampleWake spares later reads the waking of the owner while no probe could be ordered for them.
func (g *Group) updateSampleWake() {
	busy := g.machine.SampleProbesInFlight()
	g.samples.mu.Lock()
	g.samples.attended = busy
	g.samples.mu.Unlock()
}
