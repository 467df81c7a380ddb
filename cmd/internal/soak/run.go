package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/platformlocal"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/standin/linedb"
)

const (
	// recoveryLimit is the time after the last fault within which callers must be served again.
	recoveryLimit = 15 * time.Second
	// timingTolerance is added to the limits for the timing inaccuracy of the checks themselves.
	timingTolerance = 300 * time.Millisecond
	// recoveryAnswers is the number of answers that proves that callers are served again.
	recoveryAnswers = 100
	// coldRate is the rate of cold servers, in statements per second. One server of each database, the primary with every third
	// seed, is cold from the start until half of the faults are over; coldStartAllowance is the time for starting the instances.
	coldRate           = 8
	coldStartAllowance = 4 * time.Second
	serversPerDatabase = 3
	// unreadableEntry is no valid JSON.
	unreadableEntry = `{"slots":NaN}`
)

// Config configures one run.
type Config struct {
	Binary    string // the daemon
	Dir       string // for settings and logs; empty: a temporary directory, removed after a run without violations
	Seed      uint64
	Duration  time.Duration // of the faults
	Instances int
	Databases int
	Callers   int
	// OnlyRestores: the store comes back from copies and nothing else fails.
	OnlyRestores bool
	// Evacuations: failure domains are evacuated and taken back, beside the other faults.
	Evacuations bool
	// Unfenced: a former primary goes on until it is told to step down. The store does not come back from copies.
	Unfenced bool
	// Copies is the number of replicas that must have received a commit before it is acknowledged. Above 0, replicas also stop
	// receiving or are busy, and the list of servers holds an entry that can't be read.
	Copies int
	Log    io.Writer
}

// Result is the result of one run.
type Result struct {
	Seed       uint64 `json:"seed"`
	Answers    int    `json:"answers"`
	Statements int    `json:"statements"`
	Cold       int    `json:"cold"` // statements that cold servers received
	// Evacuations is the number of evacuations.
	Evacuations int      `json:"evacuations,omitempty"`
	Violations  []string `json:"violations,omitempty"`
	Logs        string   `json:"logs,omitempty"`
}

// run is a run in progress. restartMu guards restarting.
type run struct {
	callerRecord
	cfg         Config
	deployment  *platformlocal.Deployment
	withdrawals withdrawals
	evacuations evacuations

	restartMu  sync.Mutex
	restarting map[*platformlocal.Instance]bool
	logMu      sync.Mutex
}

func (r *run) logf(format string, args ...any) {
	r.logMu.Lock()
	defer r.logMu.Unlock()
	_, _ = fmt.Fprintf(r.cfg.Log, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}

// beginRestart reserves the restart of an instance. It returns false if another fault is restarting it.
func (r *run) beginRestart(i *platformlocal.Instance) bool {
	r.restartMu.Lock()
	defer r.restartMu.Unlock()
	if r.restarting[i] {
		return false
	}
	r.restarting[i] = true
	return true
}

func (r *run) endRestart(i *platformlocal.Instance) {
	r.restartMu.Lock()
	defer r.restartMu.Unlock()
	r.restarting[i] = false
}

// Run runs the scenario of one seed. An error is a failure of the soak test itself; violations are in the result.
func Run(ctx context.Context, cfg Config) (Result, error) {
	temporary := cfg.Dir == ""
	if temporary {
		dir, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return Result{}, errors.Wrap(err, "create a directory for logs")
		}
		cfg.Dir = dir
	}
	r := &run{cfg: cfg, restarting: map[*platformlocal.Instance]bool{}}
	r.refused, r.acknowledged, r.sent = map[string]bool{}, map[string]bool{}, map[string]time.Time{}
	var limit time.Duration
	if cfg.Evacuations {
		limit = evacuationLimit
	}
	d, err := platformlocal.Start(platformlocal.Config{
		EvacuationLimit: limit,
		Binary:          cfg.Binary, Dir: cfg.Dir, Instances: cfg.Instances, Accounts: accounts,
		Databases: platformlocal.Databases{
			Unfenced: cfg.Unfenced, WithoutEras: cfg.Unfenced, Copies: cfg.Copies,
			Count: cfg.Databases, Slots: serverSlots, ServiceTime: serverServiceTime, MaxConnections: serverConnections,
			ColdRate: coldRate, ColdServers: []int{int(cfg.Seed % serversPerDatabase)}, ColdTime: coldStartAllowance + cfg.Duration/2,
		},
	})
	if err != nil {
		return Result{}, err
	}
	defer d.Close()
	r.deployment = d
	r.execute(ctx)
	r.checkStatements()
	result := Result{Seed: cfg.Seed, Answers: r.answerCount(), Violations: r.violations, Logs: cfg.Dir}
	result.Cold = r.coldStatements
	result.Statements = len(d.ExecutedStatements())
	result.Evacuations = len(r.evacuations.done)
	if temporary && len(r.violations) == 0 {
		_ = os.RemoveAll(cfg.Dir) // a leftover directory is harmless
		result.Logs = ""
	}
	return result, nil
}

// describeStatements lists the last statements on an item that the servers have run.
func (r *run) describeStatements(item string) string {
	const maxLines = 8
	var lines []string
	for _, statement := range r.deployment.ExecutedStatements() {
		if strings.Contains(statement.Text, " "+item+" ") || strings.HasSuffix(statement.Text, " "+item) {
			lines = append(lines, fmt.Sprintf("%s %s at %s (%q, effect %t, in transaction %t)", statement.At.Format("15:04:05.000"), statement.ID, statement.Server, statement.Text, statement.TookEffect, statement.InTransaction))
		}
	}
	return strings.Join(lines[max(len(lines)-maxLines, 0):], "; ")
}

// execute runs callers and faults, and then waits until callers are served again.
func (r *run) execute(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	callerCtx, stopCallers := context.WithCancel(ctx)
	var callers sync.WaitGroup
	roles := []string{steadyAccount, steadyAccount, withdrawnAccount, greedyAccount}
	for n := range r.cfg.Callers {
		c := &caller{
			run: r, name: fmt.Sprintf("c%d", n), account: roles[n%len(roles)], item: fmt.Sprintf("item-%d", n),
			random: rand.New(rand.NewPCG(r.cfg.Seed, uint64(n)+2)), uncertain: map[int]bool{},
		}
		callers.Go(func() { c.loop(callerCtx) })
	}
	faultCtx, endFaults := context.WithTimeout(ctx, r.cfg.Duration)
	f := &faults{run: r, random: random}
	if r.cfg.Copies > 0 {
		f.check(r.deployment.Platform.PutRaw(platform.ServersKind, "odd", []byte(unreadableEntry)))
	}
	f.loop(faultCtx)
	endFaults()
	r.checkRecovery()
	stopCallers()
	callers.Wait()
}

// checkRecovery checks that callers are served again after the last fault.
func (r *run) checkRecovery() {
	if err := r.configure(true); err != nil {
		r.addViolation("the soak itself failed: %v", err)
	}
	before := r.answerCount()
	for end := time.Now().Add(recoveryLimit); time.Now().Before(end); time.Sleep(platformlocal.ReadyPollInterval) {
		if r.answerCount()-before >= recoveryAnswers && r.allReady() {
			return
		}
	}
	r.addViolation("%s after the last fault, %d answers were given and all instances ready: %t", recoveryLimit, r.answerCount()-before, r.allReady())
}

func (r *run) allReady() bool {
	for _, i := range r.deployment.Instances {
		if !i.Ready() {
			return false
		}
	}
	return true
}

// checkStatements checks the statements that the servers have run against the replies to callers.
func (r *run) checkStatements() {
	effects := map[string]int{}
	withdrawals := r.withdrawals.intervals()
	statements := r.deployment.ExecutedStatements()
	for _, statement := range statements {
		if statement.TookEffect {
			effects[statement.ID]++
		}
		if statement.OnFormerPrimary && statement.TookEffect && r.acknowledged[statement.ID] {
			r.addViolation("write %s was acknowledged, which %s executed at %s after its successor was promoted",
				statement.ID, statement.Server, statement.At.Format("15:04:05.000"))
		}
		r.checkAccount(statement, withdrawals)
	}
	for _, name := range r.deployment.DatabaseNames() {
		if n := r.deployment.Group(name).LostCommits(); n > 0 && r.cfg.Copies > 0 {
			r.addViolation("%d acknowledged commits of %s are not in the log of a promoted server", n, name)
		}
	}
	r.checkRate(statements)
	r.checkEvacuations(statements)
	r.checkColdServers()
	for id, n := range effects {
		if n > 1 {
			r.addViolation("write %s took effect %d times", id, n)
		}
		if r.refused[id] {
			r.addViolation("write %s took effect, but its caller was told that nothing is kept", id)
		}
	}
}

func (r *run) checkAccount(statement linedb.ExecutedStatement, withdrawals []interval) {
	if statement.Account != steadyAccount && statement.Account != withdrawnAccount && statement.Account != greedyAccount {
		r.addViolation("statement %s ran for %q", statement.ID, statement.Account)
	}
	for _, w := range withdrawals {
		if statement.Account == withdrawnAccount && statement.At.After(w.from.Add(platformlocal.KeyWithdrawalLimit+timingTolerance)) && statement.At.Before(w.to) {
			r.addViolation("statement %s ran %s after its key was withdrawn", statement.ID, statement.At.Sub(w.from))
		}
	}
}

// checkRate counts, for each quota window of the greedy account, the statements that were both sent and run in it.
func (r *run) checkRate(statements []linedb.ExecutedStatement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	type pair struct{ sent, ran time.Time }
	var reads []pair
	for _, statement := range statements {
		if sent, ok := r.sent[statement.ID]; ok && statement.Account == greedyAccount {
			reads = append(reads, pair{sent, statement.At})
		}
	}
	allowed := int((greedyRate*platformlocal.QuotaWindow.Seconds()+greedyBurst)*(1+platformlocal.QuotaOverage) + platformlocal.QuotaSlack)
	for _, first := range reads {
		n := 0
		for _, other := range reads {
			if !other.sent.Before(first.sent) && other.ran.Sub(first.sent) <= platformlocal.QuotaWindow {
				n++
			}
		}
		if n > allowed {
			r.violations = append(r.violations, fmt.Sprintf("account %s ran %d operations in %s, %d are allowed", greedyAccount, n, platformlocal.QuotaWindow, allowed))
			return
		}
	}
}

// checkColdServers counts, for each second of the time in which a server was cold, the statements that were both sent by their
// callers and received by it in that second.
func (r *run) checkColdServers() {
	for _, name := range r.deployment.DatabaseNames() {
		arrivals := r.deployment.Group(name).Arrivals()
		for _, s := range r.deployment.Servers(name) {
			from, until := r.deployment.ColdPeriod(s)
			r.checkCold(s.ID, slices.DeleteFunc(slices.Clone(arrivals), func(a linedb.Arrival) bool {
				return a.Server != s.ID || a.At.Before(from) || a.At.After(until)
			}))
		}
	}
}

// checkCold checks the statements that a server received while it was cold.
func (r *run) checkCold(server string, arrivals []linedb.Arrival) {
	const window = time.Second
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldStatements += len(arrivals)
	for _, first := range arrivals {
		begin := r.sent[first.ID]
		n := 0
		for _, a := range arrivals {
			if !r.sent[a.ID].Before(begin) && a.At.Sub(begin) <= window {
				n++
			}
		}
		if float64(n) > r.deployment.ColdLimit() {
			r.violations = append(r.violations, fmt.Sprintf("cold server %s got %d statements in %s, %g are allowed", server, n, window, r.deployment.ColdLimit()))
			return
		}
	}
}
