package quota

import (
	"context"
	"errors"
	"math/rand"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
)

// Guards against a caller that waits although the quarantine of fractions ends after the time that it has, and against refusing
// a caller with more time before the quarantine ends.
func TestAdmitWaitsForQuarantineOnlyWithinItsTime(t *testing.T) {
	const quarantine, account = 400 * time.Millisecond, "a"
	d, err := New(Config{
		Self: "127.0.0.1:1", Store: &memoryStore{}, Peers: onlySelf{}, PeerClients: peer.NewClient(peer.ClientConfig{}),
		Rand: rand.New(rand.NewSource(1)), Log: quietLog(),
	})
	if err != nil {
		t.Fatal(err)
	}
	d.SetAccounts([]manifest.Account{{Name: account, Rate: 100, Burst: 100}})
	s := d.shards[shardOf(account)]
	s.machine.SetOwner(d.cfg.Clock(), "127.0.0.1:2", []string{"127.0.0.1:3"})
	grant := quota.Grant{Account: account, NoPool: true, RetryAfter: quarantine}
	for _, c := range []struct {
		name     string
		deadline time.Duration
		patience quota.Patience
		waits    bool // until the quarantine ends
	}{
		{"deadline within the quarantine", quarantine / 2, quota.Patience{Answer: admitWait, Rest: admitWait}, false},
		{"deadline after the quarantine", 2 * quarantine, quota.Patience{Answer: admitWait, Rest: admitWait}, true},
		{"patience for an answer only", 2 * quarantine, quota.Patience{Answer: quarantine / 4, Rest: quarantine / 4}, false},
		{"patience for the quarantine", 2 * quarantine, quota.Patience{Answer: quarantine / 4, Rest: 3 * quarantine / 2}, true},
	} {
		now := d.cfg.Clock()
		s.machine.HandleGrants(now, now, quota.GrantRequest{Owner: "127.0.0.1:2"}, 1, []quota.Grant{grant})
		ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
		began := time.Now()
		err := d.AdmitWithin(ctx, account, c.patience)
		waited := time.Since(began)
		cancel()
		var refusal *outcome.Error
		if !errors.As(err, &refusal) || !c.waits && refusal.RetryAfter < quarantine/2 {
			t.Errorf("%s: %v, want a refusal with a retry-after; quarantine is %s", c.name, err, quarantine)
		}
		if c.waits && waited < quarantine || !c.waits && waited > quarantine/4 {
			t.Errorf("%s: refused after %s, want a wait until the quarantine ends: %v", c.name, waited, c.waits)
		}
	}
}
