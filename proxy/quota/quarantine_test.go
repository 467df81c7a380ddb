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

// Guards against a caller that waits although the quarantine of fractions ends after its deadline, and
// against refusing a caller with a later deadline before the quarantine ends.
func TestAdmitWaitsForQuarantineOnlyWithinDeadline(t *testing.T) {
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
	now := d.cfg.Clock()
	s.machine.SetOwner(now, "127.0.0.1:2", []string{"127.0.0.1:3"})
	grant := quota.Grant{Account: account, NoPool: true, RetryAfter: quarantine}
	s.machine.HandleGrants(now, now, quota.GrantRequest{Owner: "127.0.0.1:2"}, 1, []quota.Grant{grant})

	ctx, cancel := context.WithTimeout(t.Context(), quarantine/2)
	defer cancel()
	began := time.Now()
	err = d.Admit(ctx, account)
	var refusal *outcome.Error
	if !errors.As(err, &refusal) || refusal.RetryAfter < quarantine/2 {
		t.Errorf("with a deadline within the quarantine: %v, want a refusal with a retry-after; quarantine is %s", err, quarantine)
	}
	if waited := time.Since(began); waited > quarantine/4 {
		t.Errorf("refused after %s, want an immediate refusal", waited)
	}
	longCtx, cancel := context.WithTimeout(t.Context(), 2*quarantine)
	defer cancel()
	began = time.Now()
	if err := d.Admit(longCtx, account); err == nil {
		t.Fatal("statement was admitted without tokens, want a refusal")
	}
	if waited := time.Since(began); waited < quarantine {
		t.Errorf("with a deadline after the quarantine: refused after %s, want a wait until its end", waited)
	}
}
