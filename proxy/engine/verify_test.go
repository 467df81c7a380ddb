package engine

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// newVerifyRig returns a rig whose replica covers the sample of a read only if covered returns true.
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

// Guards against sending any part of an answer that does not cover its sample, for answers that are withheld
// whole and for those that are too large for that.
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
				t.Errorf("%d rows, want %d without the uncovered answer", n, want)
			}
			if verified.Load() == 0 || r.db.lastRead().VerifyLater {
				t.Error("read was not placed again after its sample")
			}
		})
	}
}

// Guards against reading a covered answer twice, or truncating it.
func TestCoveredAnswerIsReadOnce(t *testing.T) {
	r, verified := newVerifyRig(t, func(int32) bool { return true })
	c := r.connect()
	if got := queryText(t, c, "select $1", "x"); got != "x" {
		t.Errorf("read returned %q, want x", got)
	}
	if verified.Load() == 0 || !r.db.lastRead().VerifyLater {
		t.Error("sample was not taken concurrently with the read")
	}
}

// Guards against a second sample for a read whose answer did not cover the first one, which would double the
// wait of the read.
func TestUncoveredReadKeepsItsSample(t *testing.T) {
	sample := position.Position{Term: 3, LSN: 70}
	r, _ := newVerifyRig(t, func(int32) bool { return false })
	r.db.verify = func(context.Context) error { return &UncoveredError{Sample: sample} }
	c := r.connect()
	if got := queryText(t, c, "select $1", "x"); got != "x" {
		t.Errorf("read returned %q, want x", got)
	}
	last := r.db.lastRead()
	if last.KnownSample != sample || last.Sample || last.VerifyLater {
		t.Errorf("second read request is %+v, want the sample %v and no new one", last, sample)
	}
}

// Guards against a read that holds an execution slot while it waits for its sample, which may take a round
// trip between regions.
func TestSlotIsFreeWhileTheSampleIsTaken(t *testing.T) {
	r, _ := newVerifyRig(t, func(int32) bool { return true })
	waiting := 0
	r.db.verify = func(context.Context) error {
		r.pool.mu.Lock()
		defer r.pool.mu.Unlock()
		waiting++
		if r.pool.endedStatements != waiting {
			t.Errorf("sample %d is awaited with %d slots released, want as many as samples", waiting, r.pool.endedStatements)
		}
		return nil
	}
	c := r.connect()
	if got := queryText(t, c, "select $1", "x"); got != "x" {
		t.Errorf("read returned %q, want x", got)
	}
	if waiting == 0 {
		t.Error("no sample was taken concurrently with the read")
	}
}
