package engine

import (
	"net"
	"testing"
	"time"
)

// Guards against a withdrawn key working on in a session that is watched only after the withdrawal, while other
// sessions of the key have not ended yet: the goroutine that they share has done its work by then.
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
			t.Fatal("a watched session went on after its key was withdrawn")
		}
	}
	w.add(late)
	if !stopped(late) {
		t.Error("a session that is watched after the withdrawal goes on")
	}
	w.remove(early)
	w.remove(late)
}
