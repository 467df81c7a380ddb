package processtest

import (
	"syscall"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/decision/history"
)

// minShare is the minimum fraction of its rate that an account must get while one of three instances is
// paused, the store is cut off and another instance is replaced. Working instances then hold two thirds of
// the fractions; one half allows for the seconds in which owners change.
const minShare = 0.5

// Guards against an account that exceeds its rate and burst in any window when instances that hold or own
// fractions of its quota are paused, killed and restarted while the store is cut off.
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
	share := float64(total(result).Succeeded) / (limit.Burst + limit.Rate*result.Elapsed.Seconds())
	t.Logf("account got %.0f%% of what its rate allows", 100*share)
	if share < minShare {
		t.Errorf("account got %.0f%% of what its rate allows, want at least %.0f%%", 100*share, 100*minShare)
	}
}
