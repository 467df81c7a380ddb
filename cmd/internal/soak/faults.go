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
	// maxFaultInterval is the longest time between the starts of two faults; faults overlap.
	maxFaultInterval = 1200 * time.Millisecond
	// maxFaultDuration limits the random part of the duration of a fault.
	maxFaultDuration = 4 * time.Second
	// maxAway and maxRewriteDelay limit how long a store that comes back from a copy is away, and how long after that the
	// operator and the servers write again.
	maxAway         = time.Second
	maxRewriteDelay = 1200 * time.Millisecond
	// restoreFault is the number of the fault that brings the store back from a copy.
	restoreFault = 11
)

// faults injects random faults and ends each of them.
type faults struct {
	run     *run
	random  *rand.Rand
	pending sync.WaitGroup
	// restoring is held while the store is to come back from a copy.
	restoring sync.Mutex
}

func (f *faults) loop(ctx context.Context) {
	if f.run.cfg.Copies > 0 && !f.run.cfg.Unfenced {
		f.run.deployment.Platform.OnLateOrder(f.lateOrder())
	}
	if f.run.cfg.Evacuations {
		f.async(func() { f.evacuate(ctx) })
	}
	for wait.For(ctx, randomDuration(f.random, maxFaultInterval)) {
		f.inject(ctx)
	}
	f.pending.Wait()
}

// randomDuration returns a random duration below limit.
func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

// inject starts one random fault. Later steps of the fault run concurrently.
func (f *faults) inject(ctx context.Context) {
	instance := f.run.deployment.Instances[f.random.IntN(len(f.run.deployment.Instances))]
	server := f.randomServer()
	duration := 200*time.Millisecond + randomDuration(f.random, maxFaultDuration)
	kinds := restoreFault + 1
	if f.run.cfg.Unfenced {
		kinds = restoreFault
	}
	kind := f.random.IntN(kinds)
	if f.run.cfg.OnlyRestores {
		kind = restoreFault
	}
	if f.run.cfg.Copies > 0 && f.random.IntN(3) == 0 {
		f.holdUp(ctx, server, duration)
		return
	}
	if !f.excludesEvacuation(ctx, kind, duration) {
		return
	}
	f.run.logf("fault %d at instance %s, server %s, for %s", kind, instance.Name, server.ID, duration.Round(time.Millisecond))
	switch kind {
	case 0:
		f.async(func() { f.restart(instance, syscall.SIGKILL, duration/4) })
	case 1:
		f.async(func() { f.restart(instance, syscall.SIGTERM, duration/8) })
	case 2:
		instance.Signal(syscall.SIGSTOP)
		f.afterDelay(ctx, duration, func() { instance.Signal(syscall.SIGCONT) })
	case 3:
		instance.Signal(syscall.SIGHUP)
	case 4:
		f.silence(ctx, instance.StoreRelay, duration)
	case 5:
		instance.StoreRelay.Disable()
		f.afterDelay(ctx, duration, func() { f.check(instance.StoreRelay.Enable()) })
	case 6:
		f.silence(ctx, server.Relay, duration)
	case 7:
		f.delay(ctx, server.Relay, duration)
	case 8:
		f.run.deployment.Group(f.databaseOf(server)).DropResponses(server.ID, 1+f.random.IntN(4))
	case 9:
		f.run.deployment.Platform.Compact()
		f.check(f.run.configure(f.random.IntN(2) == 0))
	case 10:
		f.silenceResponses(ctx, server.Relay, duration)
	case restoreFault:
		f.restoreStore(ctx, duration)
	}
}

// holdUp makes a server receive nothing for a time, if it is a replica, at times after it has lost what it had in a restart, and answer
// control statements with BUSY for a while.
func (f *faults) holdUp(ctx context.Context, s *platformlocal.Server, d time.Duration) {
	const maxBusy = 30 // answers
	group, busy := f.run.deployment.Group(f.databaseOf(s)), f.random.IntN(maxBusy)
	f.run.logf("server %s receives nothing for %s, and is busy %d times", s.ID, d.Round(time.Millisecond), busy)
	group.SetBusyControls(s.ID, busy)
	if group.Primary() == s.ID {
		return
	}
	if f.random.IntN(4) == 0 {
		f.run.logf("server %s starts again and holds nothing", s.ID)
		f.check(f.run.deployment.RestartEmpty(f.databaseOf(s), s))
	} else {
		group.SetDeaf(s.ID, true)
	}
	f.afterDelay(ctx, d, func() { group.SetDeaf(s.ID, false) })
}

// lateOrder returns a function that leaves some orders without an answer until later.
func (f *faults) lateOrder() func(server string) (time.Duration, bool) {
	const minDelay, maxDelay = 2 * time.Second, 14 * time.Second
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(f.run.cfg.Seed, 0))
	return func(server string) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		after := minDelay + randomDuration(random, maxDelay-minDelay)
		late := random.IntN(3) == 0
		if late {
			f.run.logf("the order to promote %s gets no answer and is carried out after %s", server, after.Round(time.Millisecond))
		}
		return after, late
	}
}

// restoreStore keeps a copy of the store, loses what is written during a time, and lets the writers write again. While one
// restore is under way, it does nothing.
func (f *faults) restoreStore(ctx context.Context, d time.Duration) {
	if !f.restoring.TryLock() {
		return
	}
	f.run.deployment.Platform.KeepCopy()
	f.check(f.run.configure(f.random.IntN(2) == 0))
	away, rewriteDelay := randomDuration(f.random, maxAway), randomDuration(f.random, maxRewriteDelay)
	f.afterDelay(ctx, d, func() {
		defer f.restoring.Unlock()
		f.check(f.run.deployment.RestoreStore(away, rewriteDelay))
	})
}

func (f *faults) randomServer() *platformlocal.Server {
	names := f.run.deployment.DatabaseNames()
	servers := f.run.deployment.Servers(names[f.random.IntN(len(names))])
	return servers[f.random.IntN(len(servers))]
}

func (f *faults) databaseOf(s *platformlocal.Server) string {
	for _, name := range f.run.deployment.DatabaseNames() {
		if slices.Contains(f.run.deployment.Servers(name), s) {
			return name
		}
	}
	return ""
}

func (f *faults) async(step func()) {
	f.pending.Go(step)
}

// afterDelay runs a step after a delay, or when ctx is canceled if that is earlier.
func (f *faults) afterDelay(ctx context.Context, d time.Duration, step func()) {
	f.async(func() {
		wait.For(ctx, d)
		step()
	})
}

func (f *faults) check(err error) {
	if err != nil {
		f.run.addViolation("the soak itself failed: %v", err)
	}
}

// restart stops an instance with a signal and starts it again after a delay.
func (f *faults) restart(i *platformlocal.Instance, s syscall.Signal, d time.Duration) {
	if !f.run.beginRestart(i) {
		return // it is being restarted already
	}
	defer f.run.endRestart(i)
	i.Stop(s)
	time.Sleep(d)
	f.check(i.Start())
}

// silence makes a relay drop all traffic for a time. A relay that is already silent is left unchanged.
func (f *faults) silence(ctx context.Context, r *relay.Relay, d time.Duration) {
	if r.SetBlackhole(true) != nil {
		return
	}
	f.afterDelay(ctx, d, func() { f.check(r.SetBlackhole(false)) })
}

func (f *faults) silenceResponses(ctx context.Context, r *relay.Relay, d time.Duration) {
	if r.SetBlackholeFor(relay.Responses, true) != nil {
		return
	}
	f.afterDelay(ctx, d, func() { f.check(r.SetBlackholeFor(relay.Responses, false)) })
}

func (f *faults) delay(ctx context.Context, r *relay.Relay, d time.Duration) {
	if r.Delay(relay.Responses, time.Duration(20+f.random.IntN(200))*time.Millisecond) != nil {
		return
	}
	f.afterDelay(ctx, d, func() { f.check(r.RemoveDelay(relay.Responses)) })
}
