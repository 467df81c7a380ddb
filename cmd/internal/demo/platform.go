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

// platformDatabases has the small size of databases on the users' platform.
var platformDatabases = platformlocal.Databases{Count: 1, Slots: 3, ServiceTime: 500 * time.Microsecond, MaxConnections: 23}

// platformEnvironment is a deployment on the stand-in of the users' platform.
type platformEnvironment struct {
	deployment *platformlocal.Deployment
	database   string
}

// startPlatform starts a deployment whose instances run in this process.
func startPlatform() (*platformEnvironment, error) {
	var accounts []platformlocal.Account
	for _, a := range accountLoads() {
		accounts = append(accounts, platformlocal.Account{Name: a.Name, Key: platformKey(a.Name), Rate: a.Rate, Burst: a.Burst})
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

func (e *platformEnvironment) addresses() []string {
	return e.deployment.CallerAddresses()
}

func (e *platformEnvironment) account(name string) load.Account {
	return load.Account{Name: name, Key: platformKey(name)}
}

func (e *platformEnvironment) open() load.OpenFunc {
	return load.OpenLine(e.database + platformlocal.SessionRouteSuffix)
}

func (e *platformEnvironment) openStrict() load.OpenFunc {
	return load.OpenLine(e.database + platformlocal.StrictRouteSuffix)
}

// configureLoad makes each connection a session of its own, since the line protocol has no session token. Keys with a
// write of unknown outcome are abandoned: the protocol has no conditional write, so a write that is executed late
// replaces newer ones.
func (e *platformEnvironment) configureLoad(c *load.Config) {
	c.Open = e.open()
	c.SessionPerConnection = true
	c.NewKeyAfterUnknown = true
}

func (e *platformEnvironment) crashPrimary() string {
	return e.deployment.CrashPrimary(e.database)
}

func (e *platformEnvironment) restartPrimary() error {
	return e.deployment.Recover(e.database)
}

func (e *platformEnvironment) withdrawKeys(_ context.Context, account string) error {
	return e.deployment.Configure(account)
}

func (e *platformEnvironment) readFinalContent(_ context.Context, r *load.Result) error {
	r.SetFinalContent(e.deployment.Group(e.database).Content())
	return nil
}

// toleratedLimit adds the overage that the operators accept while instances fail.
func (e *platformEnvironment) toleratedLimit(l history.Limit) history.Limit {
	const factor = 1 + platformlocal.QuotaOverage
	return history.Limit{Rate: l.Rate * factor, Burst: l.Burst*factor + platformlocal.QuotaSlack}
}

func (e *platformEnvironment) replicaReadShare() float64 {
	reads, onReplicas := 0, 0
	for _, statement := range e.deployment.ExecutedStatements() {
		if statement.InTransaction || !strings.HasPrefix(statement.Text, "READ ") {
			continue
		}
		reads++
		if !statement.OnPrimary {
			onReplicas++
		}
	}
	return float64(onReplicas) / float64(max(reads, 1))
}

func (e *platformEnvironment) close() {
	e.deployment.Close()
}

// platformFigures runs the load and the events on the stand-in of the users' platform.
func platformFigures(ctx context.Context, c Config) (Figures, error) {
	e, err := startPlatform()
	if err != nil {
		return Figures{}, err
	}
	defer e.close()
	if !wait.For(ctx, platformlocal.QuotaWarmupTime) {
		return Figures{}, errors.Wrap(ctx.Err(), "the demo was interrupted")
	}
	return newPolicyRun(c, c.Duration, e).figures(ctx)
}
