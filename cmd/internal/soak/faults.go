package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/platformlocal"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/relay"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// faultGap is the longest time between two faults; they overlap.
	faultGap = 1200 * time.Millisecond
	// faultSpan is the longest time of a fault.
	faultSpan = 4 * time.Second
)

// faults injects troubles until ctx ends, and heals all of them.
type faults struct {
	run    *run
	random *rand.Rand
	heals  sync.WaitGroup
}

func (f *faults) loop(ctx context.Context) {
	for wait.For(ctx, rand0(f.random, faultGap)) {
		f.inject(ctx)
	}
	f.heals.Wait()
}

// rand0 returns a random time up to limit.
func rand0(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

// inject begins one fault. A later step of it runs beside.
func (f *faults) inject(ctx context.Context) {
	i := f.run.deployed.Instances[f.random.IntN(len(f.run.deployed.Instances))]
	s := f.server()
	span := 200*time.Millisecond + rand0(f.random, faultSpan)
	kind := f.random.IntN(11)
	f.run.logf("fault %d at instance %s, server %s, for %s", kind, i.Name, s.ID, span.Round(time.Millisecond))
	switch kind {
	case 0:
		f.beside(func() { f.restart(i, syscall.SIGKILL, span/4) })
	case 1:
		f.beside(func() { f.restart(i, syscall.SIGTERM, span/8) })
	case 2:
		i.Signal(syscall.SIGSTOP)
		f.after(ctx, span, func() { i.Signal(syscall.SIGCONT) })
	case 3:
		i.Signal(syscall.SIGHUP)
	case 4:
		f.silence(ctx, i.Store, span)
	case 5:
		i.Store.Cut()
		f.after(ctx, span, func() { f.must(i.Store.Heal()) })
	case 6:
		f.silence(ctx, s.Relay, span)
	case 7:
		f.delay(ctx, s.Relay, span)
	case 8:
		f.run.deployed.Group(f.database(s)).DropResponses(s.ID, 1+f.random.IntN(4))
	case 9:
		f.run.deployed.Platform.Compact()
		f.must(f.run.configure(f.random.IntN(2) == 0))
	case 10:
		f.oneWay(ctx, s.Relay, span)
	}
}

func (f *faults) server() *platformlocal.Server {
	names := f.run.deployed.Names()
	servers := f.run.deployed.Servers(names[f.random.IntN(len(names))])
	return servers[f.random.IntN(len(servers))]
}

func (f *faults) database(s *platformlocal.Server) string {
	for _, name := range f.run.deployed.Names() {
		if slices.Contains(f.run.deployed.Servers(name), s) {
			return name
		}
	}
	return ""
}

func (f *faults) beside(step func()) {
	f.heals.Go(step)
}

// after runs a step when a time has passed, or at the end of the faults.
func (f *faults) after(ctx context.Context, d time.Duration, step func()) {
	f.beside(func() {
		wait.For(ctx, d)
		step()
	})
}

func (f *faults) must(err error) {
	if err != nil {
		f.run.violate("the soak itself failed: %v", err)
	}
}

// restart ends an instance and starts it again after a pause.
func (f *faults) restart(i *platformlocal.Instance, s syscall.Signal, d time.Duration) {
	if !f.run.claim(i) {
		return // it is being restarted already
	}
	defer f.run.unclaim(i)
	i.End(s)
	time.Sleep(d)
	f.must(i.Start())
}

// silence swallows what passes a relay. A relay that is silent already is left alone.
func (f *faults) silence(ctx context.Context, r *relay.Relay, d time.Duration) {
	if r.Swallow(true) != nil {
		return
	}
	f.after(ctx, d, func() { f.must(r.Swallow(false)) })
}

func (f *faults) oneWay(ctx context.Context, r *relay.Relay, d time.Duration) {
	if r.SwallowOne(relay.Answers, true) != nil {
		return
	}
	f.after(ctx, d, func() { f.must(r.SwallowOne(relay.Answers, false)) })
}

func (f *faults) delay(ctx context.Context, r *relay.Relay, d time.Duration) {
	if r.Delay(relay.Answers, time.Duration(20+f.random.IntN(200))*time.Millisecond) != nil {
		return
	}
	f.after(ctx, d, func() { f.must(r.EndDelay(relay.Answers)) })
}
