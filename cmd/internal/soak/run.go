package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/platformlocal"
	"github.com/cyclamenstile/cyclamenstile/standin/linedb"
)

const (
	// recoveryLimit is the time after the last fault within which callers have to be served again.
	recoveryLimit = 15 * time.Second
	// withdrawalSlack is added to the time for withdrawing a key, for clocks of the check itself.
	withdrawalSlack = 300 * time.Millisecond
	// recoveryCount is how many answers show that callers are served again.
	recoveryCount = 100
)

// Config of one run.
type Config struct {
	Binary    string // the daemon
	Dir       string // for settings and logs; empty: a temporary one, removed after a run without violations
	Seed      uint64
	Duration  time.Duration // of the faults
	Processes int
	Databases int
	Callers   int
	Log       io.Writer
}

// Result of one run.
type Result struct {
	Seed       uint64   `json:"seed"`
	Answers    int      `json:"answers"`
	Statements int      `json:"statements"`
	Violations []string `json:"violations,omitempty"`
	Logs       string   `json:"logs,omitempty"`
}

// run is a run in progress.
type run struct {
	ledger
	cfg      Config
	deployed *platformlocal.Deployment
	keys     withdrawals

	claims   sync.Mutex
	claimed  map[*platformlocal.Instance]bool
	logMutex sync.Mutex
}

func (r *run) logf(format string, args ...any) {
	r.logMutex.Lock()
	defer r.logMutex.Unlock()
	_, _ = fmt.Fprintf(r.cfg.Log, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}

// claim makes the caller the one that restarts an instance.
func (r *run) claim(i *platformlocal.Instance) bool {
	r.claims.Lock()
	defer r.claims.Unlock()
	if r.claimed[i] {
		return false
	}
	r.claimed[i] = true
	return true
}

func (r *run) unclaim(i *platformlocal.Instance) {
	r.claims.Lock()
	defer r.claims.Unlock()
	r.claimed[i] = false
}

// Run plays one seed. The error is a failure of the soak itself; broken promises are in the result.
func Run(ctx context.Context, cfg Config) (Result, error) {
	temporary := cfg.Dir == ""
	if temporary {
		dir, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return Result{}, errors.Wrap(err, "make a folder for logs")
		}
		cfg.Dir = dir
	}
	r := &run{cfg: cfg, claimed: map[*platformlocal.Instance]bool{}}
	r.refused, r.sent = map[string]bool{}, map[string]time.Time{}
	d, err := platformlocal.Start(platformlocal.Config{
		Binary: cfg.Binary, Dir: cfg.Dir, Instances: cfg.Processes, Accounts: accounts,
		Databases: platformlocal.Databases{
			Count: cfg.Databases, Slots: serverSlots, Work: serverWork, MaxConnections: serverConnections,
		},
	})
	if err != nil {
		return Result{}, err
	}
	defer d.Close()
	r.deployed = d
	r.play(ctx)
	r.checkRuns()
	result := Result{Seed: cfg.Seed, Answers: r.count(), Violations: r.violations, Logs: cfg.Dir}
	result.Statements = len(d.Runs())
	if temporary && len(r.violations) == 0 {
		_ = os.RemoveAll(cfg.Dir) // a folder that stays behind does no harm
		result.Logs = ""
	}
	return result, nil
}

// story tells what the servers have run lately on an item, and on transactions.
func (r *run) story(item string) string {
	const last = 8
	var lines []string
	for _, each := range r.deployed.Runs() {
		if strings.Contains(each.Text, " "+item+" ") || strings.HasSuffix(each.Text, " "+item) {
			lines = append(lines, fmt.Sprintf("%s %s at %s (%q, effect %t, in transaction %t)", each.At.Format("15:04:05.000"), each.ID, each.Server, each.Text, each.TookEffect, each.InTransaction))
		}
	}
	return strings.Join(lines[max(len(lines)-last, 0):], "; ")
}

// play runs callers and faults, then waits until callers are served again.
func (r *run) play(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	working, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	roles := []string{steady, steady, withdrawn, greedy}
	for n := range r.cfg.Callers {
		c := &caller{
			run: r, name: fmt.Sprintf("c%d", n), account: roles[n%len(roles)], item: fmt.Sprintf("item-%d", n),
			random: rand.New(rand.NewPCG(r.cfg.Seed, uint64(n)+2)), doubt: map[int]bool{},
		}
		callers.Go(func() { c.loop(working) })
	}
	faulty, calm := context.WithTimeout(ctx, r.cfg.Duration)
	f := &faults{run: r, random: random}
	f.loop(faulty)
	calm()
	r.recover()
	stop()
	callers.Wait()
}

// recover checks that callers are served after the last fault.
func (r *run) recover() {
	if err := r.configure(true); err != nil {
		r.violate("the soak itself failed: %v", err)
	}
	before := r.count()
	for end := time.Now().Add(recoveryLimit); time.Now().Before(end); time.Sleep(platformlocal.ReadyPoll) {
		if r.count()-before >= recoveryCount && r.allReady() {
			return
		}
	}
	r.violate("%s after the last fault, %d answers were given and all instances ready: %t", recoveryLimit, r.count()-before, r.allReady())
}

func (r *run) allReady() bool {
	for _, i := range r.deployed.Instances {
		if !i.Ready() {
			return false
		}
	}
	return true
}

// checkRuns checks what the servers have run.
func (r *run) checkRuns() {
	effects := map[string]int{}
	withdrawals := r.keys.spans()
	all := r.deployed.Runs()
	for _, each := range all {
		if each.TookEffect {
			effects[each.ID]++
		}
		r.checkAccount(each, withdrawals)
	}
	r.checkRate(all)
	for id, n := range effects {
		if n > 1 {
			r.violate("write %s took effect %d times", id, n)
		}
		if r.refused[id] {
			r.violate("write %s took effect, but its caller was told that nothing is kept", id)
		}
	}
}

func (r *run) checkAccount(each linedb.ExecutedStatement, withdrawals []span) {
	if each.Account != steady && each.Account != withdrawn && each.Account != greedy {
		r.violate("statement %s ran for %q", each.ID, each.Account)
	}
	for _, s := range withdrawals {
		if each.Account == withdrawn && each.At.After(s.from.Add(platformlocal.KeyWithdrawal+withdrawalSlack)) && each.At.Before(s.to) {
			r.violate("statement %s ran %s after its key was withdrawn", each.ID, each.At.Sub(s.from))
		}
	}
}

// checkRate checks each window of the greedy account: what was both sent and run in it.
func (r *run) checkRate(runs []linedb.ExecutedStatement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	type pair struct{ sent, ran time.Time }
	var reads []pair
	for _, each := range runs {
		if sent, ok := r.sent[each.ID]; ok && each.Account == greedy {
			reads = append(reads, pair{sent, each.At})
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
			r.violations = append(r.violations, fmt.Sprintf("account %s ran %d operations in %s, %d are allowed", greedy, n, platformlocal.QuotaWindow, allowed))
			return
		}
	}
}
