package demo

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/platformlocal"
	"github.com/cyclamenstile/cyclamenstile/decision/history"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// platformDatabases are small, as on the users' platform.
var platformDatabases = platformlocal.Databases{Count: 1, Slots: 3, ServiceTime: 500 * time.Microsecond, MaxConnections: 23}

// platformEnvironment is a deployment on the stand-in of the users' platform.
type platformEnvironment struct {
	deployment *platformlocal.Deployment
	database   string
}

// startPlatform starts instances in this process.
func startPlatform() (*platformEnvironment, error) {
	var accounts []platformlocal.Account
	for _, o := range accountLoads() {
		accounts = append(accounts, platformlocal.Account{Name: o.Name, Key: platformKey(o.Name), Rate: o.Rate, Burst: o.Burst})
	}
	d, err := platformlocal.Start(platformlocal.Config{
		Instances: instances, Databases: platformDatabases, Accounts: accounts,
	})
	if err != nil {
		return nil, err
	}
	return &platformEnvironment{deployment: d, database: d.DatabaseNames()[0]}, nil
}

func platformKey(account string) string {
	return "key-of-" + account
}

func (s *platformEnvironment) addresses() []string {
	return s.deployment.CallerAddresses()
}

func (s *platformEnvironment) account(name string) load.Account {
	return load.Account{Name: name, Key: platformKey(name)}
}

func (s *platformEnvironment) open() load.OpenFunc {
	return load.OpenLine(s.database + platformlocal.SessionRouteSuffix)
}

func (s *platformEnvironment) openStrict() load.OpenFunc {
	return load.OpenLine(s.database + platformlocal.StrictRouteSuffix)
}

// configureLoad makes each connection a session of its own: nothing is handed over to the next one. A write that is executed
// late replaces newer ones, since the protocol has no conditional write.
func (s *platformEnvironment) configureLoad(c *load.Config) {
	c.Open = s.open()
	c.SessionPerConnection = true
	c.NewKeyAfterUnknown = true
}

func (s *platformEnvironment) crashPrimary() string {
	return s.deployment.CrashPrimary(s.database)
}

func (s *platformEnvironment) restartPrimary() error {
	return s.deployment.Recover(s.database)
}

func (s *platformEnvironment) withdrawKeys(_ context.Context, account string) error {
	return s.deployment.Configure(account)
}

func (s *platformEnvironment) readFinalContent(_ context.Context, r *load.Result) error {
	r.SetFinalContent(s.deployment.Group(s.database).Content())
	return nil
}

// toleratedLimit adds what the operators allow beyond a limit while instances fail.
func (s *platformEnvironment) toleratedLimit(l history.Limit) history.Limit {
	const part = 1 + platformlocal.QuotaOverage
	return history.Limit{Rate: l.Rate * part, Burst: l.Burst*part + platformlocal.QuotaSlack}
}

func (s *platformEnvironment) replicaReadShare() float64 {
	reads, onReplicas := 0, 0
	for _, run := range s.deployment.Runs() {
		if run.InTransaction || !strings.HasPrefix(run.Text, "READ ") {
			continue
		}
		reads++
		if !run.OnPrimary {
			onReplicas++
		}
	}
	return float64(onReplicas) / float64(max(reads, 1))
}

func (s *platformEnvironment) close() {
	s.deployment.Close()
}

// platformFigures runs load and events on the stand-in of the users' platform.
func platformFigures(ctx context.Context, c Config) (Figures, error) {
	s, err := startPlatform()
	if err != nil {
		return Figures{}, err
	}
	defer s.close()
	if !wait.For(ctx, platformlocal.QuotaWarmupTime) {
		return Figures{}, errors.Wrap(ctx.Err(), "the demo was interrupted")
	}
	return newPolicyRun(c, c.Duration, s).figures(ctx)
}
