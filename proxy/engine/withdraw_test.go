package engine

import (
	"net"
	"testing"
	"time"
)

// Guards against a session that continues with a withdrawn key because it is added only after the withdrawal.
// While other sessions of the key have not ended yet, their shared goroutine has already finished.
func TestWithdrawalBeforeTheSessionIsWatched(t *testing.T) {
	withdrawn := make(chan struct{})
	newSession := func() *session {
		ours, theirs := net.Pipe()
		t.Cleanup(func() { _, _ = ours.Close(), theirs.Close() })
		return &session{conn: ours, login: Login{Withdrawn: withdrawn}}
	}
	stopped := func(s *session) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.stopReason == stopWithdrawn
	}
	var w withdrawals
	early, late := newSession(), newSession()
	w.add(early)
	close(withdrawn)
	for end := time.Now().Add(10 * time.Second); !stopped(early); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("watched session continued after its key was withdrawn")
		}
	}
	w.add(late)
	if !stopped(late) {
		t.Error("session added after the withdrawal continues, want it stopped")
	}
	w.remove(early)
	w.remove(late)
}
