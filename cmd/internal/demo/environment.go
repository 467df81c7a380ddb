package demo

import (
	"context"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/local"
	"github.com/cyclamenstile/cyclamenstile/decision/history"
)

// environment is a running deployment, either with the PostgreSQL interface or on the stand-in of the users' platform.
type environment interface {
	// addresses returns the addresses at which the instances serve callers.
	addresses() []string
	// account returns an account with its key.
	account(name string) load.Account
	// open returns a function that opens sessions as the load does.
	open() load.OpenFunc
	// openStrict returns a function that opens sessions that see every acknowledged write.
	openStrict() load.OpenFunc
	// configureLoad sets how the sessions of a load connect and which consistency they expect.
	configureLoad(*load.Config)
	// crashPrimary stops the primary and returns its ID; restartPrimary starts it again.
	crashPrimary() string
	restartPrimary() error
	// withdrawKeys invalidates the keys of an account.
	withdrawKeys(ctx context.Context, account string) error
	// readFinalContent reads the content of the primary into the history of r.
	readFinalContent(ctx context.Context, r *load.Result) error
	// toleratedLimit returns the limit above which admissions of an account are a violation.
	toleratedLimit(history.Limit) history.Limit
	// replicaReadShare returns the fraction of reads that replicas served.
	replicaReadShare() float64
	close()
}

// postgresEnvironment is a deployment with the PostgreSQL interface in this process.
type postgresEnvironment struct {
	deployment    *local.Deployment
	reads         *readCounter
	crashedServer int
}

func (e *postgresEnvironment) addresses() []string {
	var out []string
	for _, i := range e.deployment.Instances {
		out = append(out, i.Address)
	}
	return out
}

func (e *postgresEnvironment) account(name string) load.Account {
	return load.Account{Name: name, Key: e.deployment.Key(name)}
}

func (e *postgresEnvironment) open() load.OpenFunc {
	return load.OpenPostgres(local.DatabaseName)
}

func (e *postgresEnvironment) openStrict() load.OpenFunc {
	return e.open()
}

func (e *postgresEnvironment) configureLoad(c *load.Config) {
	c.Open = e.open()
}

func (e *postgresEnvironment) crashPrimary() string {
	e.crashedServer = e.deployment.Group.Primary()
	e.deployment.Group.Kill(e.crashedServer)
	return string(e.deployment.Group.Server(e.crashedServer).ID())
}

func (e *postgresEnvironment) restartPrimary() error {
	return e.deployment.Group.Restart(e.crashedServer)
}

func (e *postgresEnvironment) withdrawKeys(ctx context.Context, account string) error {
	return e.deployment.WithdrawKeys(ctx, account)
}

func (e *postgresEnvironment) readFinalContent(ctx context.Context, r *load.Result) error {
	primary := e.deployment.Group.Server(e.deployment.Group.Primary())
	return r.ReadFinalContent(ctx, primary.Address(), "", load.Account{Name: "demo"})
}

func (e *postgresEnvironment) toleratedLimit(l history.Limit) history.Limit {
	return l
}

func (e *postgresEnvironment) replicaReadShare() float64 {
	n := e.reads.total.Load()
	if n == 0 {
		return 0
	}
	return float64(e.reads.onReplica.Load()) / float64(n)
}

func (e *postgresEnvironment) close() {
	e.deployment.Close()
}
