package group

import (
	"context"
	"sync"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// samples batches the reads that ask for a sample. Reads that arrive while probes are in flight share
// one sample, which the owner begins just before it may order the next probes.
type samples struct {
	mu   sync.Mutex
	next *sample // the sample to begin next; nil while no read waits for one
	// checkScheduled is set while the end of a probe in flight will make the owner check next, so that a
	// read need not notify it.
	checkScheduled bool
}

// sample is a position floor that several reads wait for.
type sample struct {
	group   *Group
	done    chan struct{} // closed once result is set
	result  resolution
	waiting int                // number of reads; guarded by samples.mu
	id      authority.WaiterID // accessed only by the owner; 0 until the sample has begun
}

// joinSample joins the sample that begins next. It returns false if ctx ended or the group stopped.
func (g *Group) joinSample(ctx context.Context) (*sample, bool) {
	g.samples.mu.Lock()
	s := g.samples.next
	if s == nil {
		s = &sample{group: g, done: make(chan struct{})}
		g.samples.next = s
	}
	s.waiting++
	checkScheduled := g.samples.checkScheduled
	g.samples.mu.Unlock()
	if !checkScheduled && !g.post(ctx, func() {}) {
		s.leave()
		return nil, false
	}
	return s, true
}

// await waits for the result. ok is false if ctx ended or the group stopped.
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

// leave removes one read from the sample, and cancels the sample if no other read waits for it.
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

// cancelIfUnused cancels the sample unless a read has joined it since it was abandoned.
func (s *sample) cancelIfUnused() {
	g := s.group
	g.samples.mu.Lock()
	waiting := s.waiting
	g.samples.mu.Unlock()
	if waiting == 0 {
		g.cancelWaiter(s.id)
	}
}

// beginSample begins the sample of the reads that have arrived. It must be called before any step that
// may order probes, since only probes ordered afterwards count for the sample.
func (g *Group) beginSample() {
	g.samples.mu.Lock()
	s := g.samples.next
	g.samples.next, g.samples.checkScheduled = nil, false
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

// updateCheckScheduled lets later reads skip the notification of the owner while probes in flight keep it
// from ordering new ones.
func (g *Group) updateCheckScheduled() {
	inFlight := g.machine.SampleProbesInFlight()
	g.samples.mu.Lock()
	g.samples.checkScheduled = inFlight
	g.samples.mu.Unlock()
}
