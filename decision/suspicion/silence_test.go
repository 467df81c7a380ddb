package suspicion

import (
	"testing"
	"time"
)

// Guards against questions to a peer that answers other calls, against several questions at a time, and against a silent peer
// that is not asked again.
func TestSilentPeerIsAsked(t *testing.T) {
	var s Silence[string]
	const peer = "a"
	for _, step := range []struct {
		name string
		do   func(now time.Duration)
		want bool
	}{
		{"never heard", func(time.Duration) {}, true},
		{"being asked", func(time.Duration) {}, false},
		{"has not answered", func(now time.Duration) { s.Asked(now, peer, false) }, true},
		{"has answered", func(now time.Duration) { s.Asked(now, peer, true) }, false},
		{"silent again", func(time.Duration) {}, true},
		{"answers another call", func(now time.Duration) { s.Asked(now, peer, false); s.Heard(now, peer) }, false},
	} {
		now := time.Second
		step.do(now)
		if step.name == "silent again" {
			now += SilenceTerm
		}
		if got := s.MustAsk(now, peer); got != step.want {
			t.Errorf("%s: asked %v, want %v", step.name, got, step.want)
		}
	}
	s.MustAsk(time.Hour, "b")
	if len(s.heard) != 0 {
		t.Errorf("%d peers are remembered after an hour", len(s.heard))
	}
}
