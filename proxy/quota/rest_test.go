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

// Guards against a caller that waits in vain while fractions rest, and against one that is sent away although it would
// wait for longer than they rest.
func TestAdmitWaitsForQuarantineOnlyWithinDeadline(t *testing.T) {
	const rest, account = 400 * time.Millisecond, "a"
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
	told := quota.Grant{Account: account, NoPool: true, RetryAfter: rest}
	s.machine.HandleGrants(now, now, quota.GrantRequest{Owner: "127.0.0.1:2"}, 1, []quota.Grant{told})

	ctx, cancel := context.WithTimeout(t.Context(), rest/2)
	defer cancel()
	began := time.Now()
	err = d.Admit(ctx, account)
	var refusal *outcome.Error
	if !errors.As(err, &refusal) || refusal.RetryAfter < rest/2 {
		t.Errorf("a caller with little time is told %v; fractions rest for %s", err, rest)
	}
	if waited := time.Since(began); waited > rest/4 {
		t.Errorf("it was told after %s", waited)
	}
	patient, cancel := context.WithTimeout(t.Context(), 2*rest)
	defer cancel()
	began = time.Now()
	if err := d.Admit(patient, account); err == nil {
		t.Fatal("admitted without tokens")
	}
	if waited := time.Since(began); waited < rest {
		t.Errorf("a caller with time was sent away after %s", waited)
	}
}
