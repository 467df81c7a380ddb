package engine

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// newVerifyRig sends reads to a replica whose answers cover their sample only if covered says so.
func newVerifyRig(t *testing.T, covered func(read int32) bool) (r *rig, verified *atomic.Int32) {
	r = newRig(t, func(c *Config, route *manifest.Route) {
		route.SessionScope = manifest.ScopeAny
		c.MaxWithheldSize = 1000
	})
	verified = new(atomic.Int32)
	r.db.verify = func(context.Context) error {
		if covered(verified.Add(1)) {
			return nil
		}
		return errors.New("not covered")
	}
	return r, verified
}

// Guards against a caller receiving any part of an answer that does not cover its sample, in answers
// that are kept back whole and in those that are too large for that.
func TestUncoveredAnswerIsNotSent(t *testing.T) {
	for _, sql := range []string{"select rows 3", "select rows 100000"} {
		t.Run(sql, func(t *testing.T) {
			r, verified := newVerifyRig(t, func(int32) bool { return false })
			c := r.connect()
			rows, err := c.Query(context.Background(), sql)
			if err != nil {
				t.Fatal(err)
			}
			n := 0
			for rows.Next() {
				n++
			}
			if rows.Err() != nil {
				t.Fatal(rows.Err())
			}
			if want := map[string]int{"select rows 3": 3, "select rows 100000": 100_000}[sql]; n != want {
				t.Errorf("%d rows, want %d: the uncovered answer was mixed in", n, want)
			}
			if verified.Load() == 0 || r.db.lastRead().VerifyLater {
				t.Error("the read was not placed again behind its sample")
			}
		})
	}
}

// Guards against a covered answer being read twice or being cut off.
func TestCoveredAnswerIsReadOnce(t *testing.T) {
	r, verified := newVerifyRig(t, func(int32) bool { return true })
	c := r.connect()
	if got := queryText(t, c, "select $1", "x"); got != "x" {
		t.Errorf("read %q, want x", got)
	}
	if verified.Load() == 0 || !r.db.lastRead().VerifyLater {
		t.Error("the sample was not taken beside the read")
	}
}

// Guards against a second sample for a read whose answer did not cover the first, which would double
// the read's wait.
func TestUncoveredReadKeepsItsSample(t *testing.T) {
	sample := position.Position{Term: 3, LSN: 70}
	r, _ := newVerifyRig(t, func(int32) bool { return false })
	r.db.verify = func(context.Context) error { return &UncoveredError{Sample: sample} }
	c := r.connect()
	if got := queryText(t, c, "select $1", "x"); got != "x" {
		t.Errorf("read %q, want x", got)
	}
	last := r.db.lastRead()
	if last.KnownSample != sample || last.Sample || last.VerifyLater {
		t.Errorf("placed again with %+v, want the sample %v and no other", last, sample)
	}
}

// Guards against a read that keeps an execution slot while it waits for its sample, which may take a
// round trip between regions.
func TestSlotIsFreeWhileTheSampleIsTaken(t *testing.T) {
	r, _ := newVerifyRig(t, func(int32) bool { return true })
	waiting := 0
	r.db.verify = func(context.Context) error {
		r.pool.mu.Lock()
		defer r.pool.mu.Unlock()
		waiting++
		if r.pool.endedStatements != waiting {
			t.Errorf("sample %d is awaited with %d slots given back", waiting, r.pool.endedStatements)
		}
		return nil
	}
	c := r.connect()
	if got := queryText(t, c, "select $1", "x"); got != "x" {
		t.Errorf("read %q, want x", got)
	}
	if waiting == 0 {
		t.Error("no sample was taken beside the read")
	}
}
