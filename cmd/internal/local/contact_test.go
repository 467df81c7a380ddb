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

// logins logs in with a key at each of the instances at once and returns how many refused it.
func logins(t *testing.T, d *local.Deployment, instances int) int {
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

// Guards against a store outage that ends keyed work in deployments above the size at which instances
// call all their peers every second, and against keyed work that goes on without a majority.
func TestKeyedWorkWithoutStore(t *testing.T) {
	const instances, left = 24, 10
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
	looks, refused := 0, 0
	for end := time.Now().Add(2 * manifest.DefaultContactTimeout); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		looks += instances - 2
		refused += logins(t, d, instances-2)
	}
	t.Logf("%d of %d logins refused", refused, looks)
	if refused > 0 {
		t.Errorf("%d of %d logins refused with 22 of 24 instances up", refused, looks)
	}
	defer func() { _ = d.Store.AcceptConnections() }() // or each stop waits for it
	stop(left, instances-2)
	time.Sleep(manifest.DefaultContactTimeout + time.Millisecond)
	if refused := logins(t, d, left); refused < left {
		t.Errorf("%d of %d instances accept keys without a majority", left-refused, left)
	}
}
