package engine

import (
	"context"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
)

// stalledStage waits until the server has one statement in execution that has been in its stage for a while.
func (r *rig) stalledStage() StalledStatement {
	r.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if stalled := r.srv.Stalled(20 * time.Millisecond); len(stalled) == 1 {
			return stalled[0]
		}
	}
	r.t.Fatal("no statement is reported as stalled")
	return StalledStatement{}
}

// Guards against a hang of which an operator can't tell what it waits for.
func TestStalledTellsTheStage(t *testing.T) {
	r := newRig(t)
	confirmed := make(chan struct{})
	r.db.setConfirm(func(ctx context.Context) error {
		select {
		case <-confirmed:
			return nil
		case <-ctx.Done():
			return outcome.New(outcome.Unknown, outcome.CodeStatementCompletionUnknown, "not confirmed", "none")
		}
	})
	c := r.connect()
	if got := r.srv.Stalled(0); len(got) != 0 {
		t.Errorf("stalled %v without a statement, want none", got)
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "insert")
		done <- err
	}()
	if got := r.stalledStage(); got.Stage != StageConfirmation {
		t.Errorf("stage %s, want %s", got.Stage, StageConfirmation)
	}
	close(confirmed)
	if err := <-done; err != nil {
		t.Error(err)
	}
	if got := r.srv.Stalled(0); len(got) != 0 {
		t.Errorf("stalled %v after the statement, want none", got)
	}
}
