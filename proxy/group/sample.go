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
	open *sample // nil while no read waits for one to begin
	// attended tells that the end of a probe will make the owner look at open, so that it need not
	// be woken.
	attended bool
}

// sample is a floor that several reads wait for.
type sample struct {
	group   *Group
	done    chan struct{} // closed once result is set
	result  proof
	waiting int                // reads; guarded by samples.mu
	id      authority.WaiterID // belongs to the owner; 0 until the sample has begun
}

// takeSample joins the sample that begins next; it returns false when ctx ended or the group stopped.
func (g *Group) takeSample(ctx context.Context) (*sample, bool) {
	g.samples.mu.Lock()
	s := g.samples.open
	if s == nil {
		s = &sample{group: g, done: make(chan struct{})}
		g.samples.open = s
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
func (s *sample) await(ctx context.Context) (r proof, ok bool) {
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
		g.post(context.Background(), s.end)
	}
}

// end ends the sample unless a read has joined it since it was given up.
func (s *sample) end() {
	g := s.group
	g.samples.mu.Lock()
	waiting := s.waiting
	g.samples.mu.Unlock()
	if waiting == 0 {
		g.cancel(s.id)
	}
}

// beginSample begins the sample of the reads that have arrived. It has to come before any step that
// may order probes, since only those ordered from then on count.
func (g *Group) beginSample() {
	g.samples.mu.Lock()
	s := g.samples.open
	g.samples.open, g.samples.attended = nil, false
	wanted := s != nil && s.waiting > 0
	g.samples.mu.Unlock()
	if !wanted {
		return
	}
	s.id = g.wait(authority.Waiter{Mode: authority.ModeSample}, func(r proof) {
		s.result = r
		close(s.done)
	})
	g.machine.RequestProbes()
}

// attendSamples spares later reads the waking of the owner while no probe could be ordered for them.
func (g *Group) attendSamples() {
	busy := g.machine.SampleProbesInFlight()
	g.samples.mu.Lock()
	g.samples.attended = busy
	g.samples.mu.Unlock()
}
