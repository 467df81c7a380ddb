package processtest

import (
	"syscall"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/decision/history"
)

// minShare is the part of its rate that an account gets at least while one of three instances is
// paused, the store is cut off and another instance is replaced. Two thirds of the fractions are then
// with instances that work; half leaves room for the seconds in which owners change.
const minShare = 0.5

// Guards against an account that gets more than its rate and burst, in any window, when instances
// that hold or own parts of its quota are paused, killed and restarted while the store is cut off.
func TestRateHoldsWhileInstancesFail(t *testing.T) {
	limit := history.Limit{Rate: 200, Burst: 50}
	d := deploy(t, setup{instances: 3, crews: limit})
	r := d.startLoad(func(c *load.Config) {
		c.Accounts = []load.Account{{Name: crews, Key: d.keys[crews], Rate: 4 * limit.Rate}}
		c.Connections = 24
		c.ReadShare = 0.2
	})
	r.limits = map[string]history.Limit{crews: limit}
	d.instances[0].signal(t, syscall.SIGSTOP)
	d.storeRelay.cut()
	waitUntil(t, "pause", time.Now().Add(pauseLength))
	d.instances[0].signal(t, syscall.SIGCONT)
	d.instances[1].kill()
	d.storeRelay.heal()
	d.startInstance(d.instances[1])
	waitFor(t, "restarted instance ready", func() bool { return d.ready(1) })
	d.awaitLogGrowth(d.latestPrimary(), 500)
	result := r.finish()
	got := float64(total(result).Succeeded) / (limit.Burst + limit.Rate*result.Elapsed.Seconds())
	t.Logf("%.0f%% of what the rate allows", 100*got)
	if got < minShare {
		t.Errorf("the account got %.0f%% of what its rate allows, want %.0f%% at least", 100*got, 100*minShare)
	}
}
