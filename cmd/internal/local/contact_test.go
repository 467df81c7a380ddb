package local_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/local"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/proxy/daemon"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
)

// refusedLogins logs in at all instances concurrently and returns how many refused the key.
func refusedLogins(t *testing.T, d *local.Deployment, instances int) int {
	var refused atomic.Int64
	var wg sync.WaitGroup
	for i := range instances {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			c, err := pgx.Connect(ctx, d.URL(i, "orders", "marshals"))
			if err != nil {
				refused.Add(1)
				return
			}
			_ = c.Close(ctx)
		})
	}
	wg.Wait()
	return int(refused.Load())
}

// Guards against a store outage that stops statements of client accounts in a deployment too large for instances to
// call all peers every second, and against instances that accept keys without a majority of the instances.
func TestKeyedWorkWithoutStore(t *testing.T) {
	const instances, remaining = 24, 10
	d := start(t, local.Config{
		Instances: instances, Server: database.Config{Seed: 1}, Accounts: oneAccount(), Routes: oneRoute(),
		Adjust: func(_ int, c *daemon.Config) { c.DrainTimeout = 100 * time.Millisecond },
	})
	stop := func(from, to int) {
		var stops sync.WaitGroup
		for _, i := range d.Instances[from:to] {
			stops.Go(func() { _ = i.Stop() })
		}
		stops.Wait()
	}
	stop(instances-2, instances)
	if err := d.Store.RefuseConnections(); err != nil {
		t.Fatal(err)
	}
	attempts, refused := 0, 0
	for end := time.Now().Add(2 * manifest.DefaultContactTimeout); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		attempts += instances - 2
		refused += refusedLogins(t, d, instances-2)
	}
	t.Logf("%d of %d logins refused", refused, attempts)
	if refused > 0 {
		t.Errorf("%d of %d logins refused with 22 of 24 instances up", refused, attempts)
	}
	defer func() { _ = d.Store.AcceptConnections() }() // otherwise each Stop waits for the store
	stop(remaining, instances-2)
	time.Sleep(manifest.DefaultContactTimeout + time.Millisecond)
	if refused := refusedLogins(t, d, remaining); refused < remaining {
		t.Errorf("%d of %d instances accept keys without a majority", remaining-refused, remaining)
	}
}
