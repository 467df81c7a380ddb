package processtest

import (
	"flag"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/decision/history"
)

// outage is the length of the store outage. The default keeps the test short; the stated target is an hour.
var outage = flag.Duration("outage", 6*time.Second, "how long the store is down in TestStoreOutage")

// Guards against traffic, quota or failover that stop working in a store outage, against admissions above
// the rate during it, and against instances that don't adopt a new manifest afterwards.
func TestStoreOutage(t *testing.T) {
	limit := history.Limit{Rate: 20, Burst: 40}
	d := deploy(t, setup{instances: 3, crews: limit})
	// The buckets of a new deployment start empty; wait until they are full.
	<-time.After(time.Duration(limit.Burst / limit.Rate * float64(time.Second)))
	r := d.startLoad(func(c *load.Config) {
		c.Accounts = []load.Account{
			{Name: marshals, Key: d.keys[marshals], Rate: 20},
			// Half of the rate, so that the statements delayed by the failover fit into the burst.
			{Name: crews, Key: d.keys[crews], Rate: limit.Rate / 2},
		}
		c.Connections = 6
		c.MoveAfter = 50
		c.UseToken = true
		c.Duration = *outage + 2*eventTimeout
	})
	r.limits = map[string]history.Limit{crews: limit}
	d.storeRelay.cut()
	end := time.After(*outage)
	<-time.After(*outage / 2)
	d.servers[0].kill()
	next := d.awaitPrimary(0)
	<-end
	d.awaitLogGrowth(next, 20)
	d.storeRelay.heal()
	d.checkNewManifest()
	result := r.finish()
	checkGap(t, result, gapAfterCrash)
	for account, c := range result.Counts {
		t.Logf("%s: %+v, failed %v", account, c, result.Failures[account])
		// Statements wait for a primary longer than the failover takes, so none may be refused.
		if c.NotRun > 0 {
			t.Errorf("%d statements of %s refused within the rate, want none", c.NotRun, account)
		}
	}
}
