package engine

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
)

const (
	faultCallers    = 8
	faultStatements = 150 // per caller
)

// faultRun runs callers against servers that fail at random.
type faultRun struct {
	*rig
	mu  sync.Mutex
	rng *rand.Rand
}

func (f *faultRun) roll(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

func (f *faultRun) fault(string) fakeFault {
	switch f.roll(20) {
	case 0:
		return closeBeforeRun
	case 1:
		return closeAfterRun
	case 2:
		return refuseAsFenced
	}
	return faultNone
}

// caller runs statements and checks each answer and error against the state of the servers.
func (f *faultRun) caller(id int) {
	c, err := f.tryConnect()
	if err != nil {
		f.t.Error(err)
		return
	}
	defer c.Close(context.Background())
	for i := range faultStatements {
		name := fmt.Sprintf("insert %d.%d", id, i)
		switch f.roll(3) {
		case 0:
			f.read(c, name)
		case 1:
			_, err := c.Exec(context.Background(), name)
			f.check(name, err)
		case 2:
			f.transaction(c, name)
		}
		if c.IsClosed() {
			f.t.Errorf("session ended at %s, want it to continue", name)
			return
		}
	}
}

func (f *faultRun) read(c *pgx.Conn, text string) {
	var got string
	err := c.QueryRow(context.Background(), "select $1", text).Scan(&got)
	if err == nil && got != text {
		f.t.Errorf("read of %q returned %q, want the same text", text, got)
	}
}

func (f *faultRun) transaction(c *pgx.Conn, name string) {
	if _, err := c.Exec(context.Background(), "begin"); err != nil {
		return
	}
	_, err := c.Exec(context.Background(), name)
	if err != nil {
		_, _ = c.Exec(context.Background(), "rollback")
		if n := f.primary.appliedTimes(name); n != 0 {
			f.t.Errorf("%s was applied %d times, want 0 in a failed transaction", name, n)
		}
		return
	}
	tag, err := c.Exec(context.Background(), "commit")
	if err == nil && tag.String() != "COMMIT" {
		f.t.Errorf("commit of %s returned %q, want COMMIT", name, tag)
	}
	f.check(name, err)
}

// check compares the answer to the caller with what the server applied.
func (f *faultRun) check(name string, err error) {
	n := f.primary.appliedTimes(name)
	var pg *pgconn.PgError
	switch {
	case err == nil && n != 1:
		f.t.Errorf("%s was acknowledged and applied %d times, want once", name, n)
	case err != nil && !errors.As(err, &pg):
		f.t.Errorf("%s: error %v, want an error response", name, err)
	case err != nil && strings.HasPrefix(pg.Detail, outcome.NotRun.String()) && n != 0:
		f.t.Errorf("%s was reported as not run and applied %d times, want 0", name, n)
	case n > 1:
		f.t.Errorf("%s was applied %d times, want at most once", name, n)
	}
}

// Guards against wrong answers, wrong error kinds and repeated writes when connections break, servers refuse
// statements and confirmations fail at random.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := &faultRun{rig: newRig(t), rng: rand.New(rand.NewPCG(seed, 0))}
			f.primary.nextFault, f.replica.nextFault = f.fault, f.fault
			f.db.setConfirm(func(context.Context) error {
				if f.roll(20) == 0 {
					return errNoMajority
				}
				return nil
			})
			var callers sync.WaitGroup
			for id := range faultCallers {
				callers.Go(func() { f.caller(id) })
			}
			callers.Wait()
			waitFor(t, func() bool { _, _, inUse := f.pool.counts(); return inUse == 0 })
		})
	}
}
