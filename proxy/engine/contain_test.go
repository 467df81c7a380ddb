package engine

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/proxy/contain"
)

// Guards against a fault met by one statement that takes the process, and with it all sessions, down, and against one that
// nobody learns of.
func TestFaultEndsOneSession(t *testing.T) {
	r := newRig(t)
	bystander, faulty := r.connect(), r.connect()
	exec(t, bystander, "INSERT INTO kv (key, value) VALUES ('a', '1')")
	r.db.mu.Lock()
	r.db.confirm = func(context.Context) error { panic("fault") }
	r.db.mu.Unlock()
	if _, err := faulty.Exec(t.Context(), "INSERT INTO kv (key, value) VALUES ('b', '1')"); err == nil {
		t.Error("the statement that met the fault is acknowledged")
	}
	r.db.mu.Lock()
	r.db.confirm = nil
	r.db.mu.Unlock()
	exec(t, bystander, "INSERT INTO kv (key, value) VALUES ('c', '1')")
	var p *contain.PanicError
	select {
	case err := <-r.rec.closed:
		if !errors.As(err, &p) {
			t.Errorf("the observer is told %v, want the contained panic", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the session that met the fault stays open")
	}
}
