package demo

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/local"
	"github.com/cyclamenstile/cyclamenstile/proxy/daemon"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// Fractions of the run after which the events are injected.
const (
	killAt     = 0.25
	restartAt  = 0.55
	withdrawAt = 0.7
)

// withdrawalWait limits the wait for a withdrawn key to stop working.
const withdrawalWait = 10 * time.Second

// readCounter counts successful reads and those among them that replicas served.
type readCounter struct {
	total, onReplica atomic.Int64
}

func (c *readCounter) observe(st engine.Statement) {
	if !st.Read || st.Server == "" || st.Outcome != engine.OutcomeOK {
		return
	}
	c.total.Add(1)
	if !st.Primary {
		c.onReplica.Add(1)
	}
}

// policyRun runs one policy under load.
type policyRun struct {
	cfg             Config
	duration        time.Duration
	environment     environment
	mover           *mover
	withdrawalDelay time.Duration

	mu      sync.Mutex
	results map[string]*load.Result // by account
}

// startPolicy starts a deployment with the plain policy, or with the proxy's own if plain is nil.
func startPolicy(ctx context.Context, c Config, plain *daemon.BaselinePolicy, listeners []net.Listener) (*postgresEnvironment, error) {
	reads := &readCounter{}
	d, err := local.Start(ctx, deploymentConfig(c, plain, listeners, reads))
	if err != nil {
		return nil, err
	}
	return &postgresEnvironment{deployment: d, reads: reads}, nil
}

func newPolicyRun(c Config, duration time.Duration, e environment) *policyRun {
	return &policyRun{cfg: c, duration: duration, environment: e, results: make(map[string]*load.Result)}
}

// figures runs the load with the events and returns the measurements.
func (r *policyRun) figures(ctx context.Context) (Figures, error) {
	if err := r.run(ctx); err != nil {
		return Figures{}, err
	}
	return r.measure(ctx)
}

// run runs the load and the events for the duration.
func (r *policyRun) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.duration+withdrawalWait)
	defer cancel()
	start := time.Now()
	tasks := make([]func(context.Context) error, 0, len(accountLoads())+2)
	for _, a := range accountLoads() {
		if a.sessions > 0 {
			tasks = append(tasks, func(ctx context.Context) error { return r.runLoad(ctx, a) })
		}
	}
	r.mover = &mover{environment: r.environment, deadline: start.Add(r.duration)}
	tasks = append(tasks, r.mover.run, r.crashAndRestartPrimary, r.withdrawKey)
	return inParallel(ctx, tasks)
}

func inParallel(ctx context.Context, tasks []func(context.Context) error) error {
	var running sync.WaitGroup
	failures := make([]error, len(tasks))
	for i, task := range tasks {
		running.Go(func() { failures[i] = task(ctx) })
	}
	running.Wait()
	return errors.Join(failures...)
}

// runLoad runs the load of one account.
func (r *policyRun) runLoad(ctx context.Context, a accountLoad) error {
	delay := r.offset(a.startFraction)
	if !wait.For(ctx, delay) {
		return nil
	}
	if a.startFraction > 0 {
		r.cfg.progressf("  account %s sends %.0f statements/s, its rate is %.0f", a.Name, a.offeredRate, a.Rate)
	}
	account := r.environment.account(a.Name)
	account.Rate = a.offeredRate
	c := load.Config{
		Addresses:   r.addresses(a.firstInstanceOnly),
		Accounts:    []load.Account{account},
		Connections: a.sessions,
		ReadShare:   0.6,
		Duration:    r.duration - delay,
		Seed:        r.cfg.Seed,
		RunName:     a.Name,
	}
	r.environment.configureLoad(&c)
	result, err := load.Run(ctx, c)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[a.Name] = result
	return nil
}

func (r *policyRun) addresses(firstInstanceOnly bool) []string {
	out := r.environment.addresses()
	if firstInstanceOnly {
		return out[:1]
	}
	return out
}

func (r *policyRun) offset(fraction float64) time.Duration {
	return time.Duration(fraction * float64(r.duration))
}

// crashAndRestartPrimary kills the primary and restarts it later.
func (r *policyRun) crashAndRestartPrimary(ctx context.Context) error {
	if !wait.For(ctx, r.offset(killAt)) {
		return nil
	}
	r.cfg.progressf("  primary %s is killed", r.environment.crashPrimary())
	if !wait.For(ctx, r.offset(restartAt-killAt)) {
		return nil
	}
	r.cfg.progressf("  it starts again")
	return r.environment.restartPrimary()
}

// withdrawKey withdraws an account's key and measures for how long sessions that are already connected keep working.
func (r *policyRun) withdrawKey(ctx context.Context) error {
	if !wait.For(ctx, r.offset(withdrawAt)) {
		return nil
	}
	sessions, err := r.connectAll(ctx, withdrawnAccount)
	if err != nil {
		return err
	}
	r.cfg.progressf("  the key of account %s is withdrawn", withdrawnAccount)
	if err := r.environment.withdrawKeys(ctx, withdrawnAccount); err != nil {
		return err
	}
	started := time.Now()
	last := started
	for time.Since(started) < withdrawalWait && len(sessions) > 0 {
		sessions = stillWorking(ctx, sessions)
		if len(sessions) > 0 {
			last = time.Now()
		}
		if !wait.For(ctx, 5*time.Millisecond) {
			break
		}
	}
	r.withdrawalDelay = last.Sub(started)
	return nil
}

// connectAll opens a session of an account through each instance.
func (r *policyRun) connectAll(ctx context.Context, account string) ([]load.Conn, error) {
	var out []load.Conn
	for _, address := range r.environment.addresses() {
		c, err := r.environment.open()(ctx, address, r.environment.account(account), "")
		if err != nil {
			return nil, errors.Wrap(err, "connect before the key is withdrawn")
		}
		out = append(out, c)
	}
	return out, nil
}

// stillWorking returns the sessions that are still open after a statement, whether or not it succeeds.
func stillWorking(ctx context.Context, sessions []load.Conn) []load.Conn {
	var out []load.Conn
	for _, c := range sessions {
		_, _ = c.Read(ctx, withdrawnAccount)
		if !c.Closed() {
			out = append(out, c)
		}
	}
	return out
}
