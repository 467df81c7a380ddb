package demo

import (
	"context"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/local"
	"github.com/cyclamenstile/cyclamenstile/decision/history"
)

// environment is a running deployment: of the product's own interface, or on the stand-in of the users' platform.
type environment interface {
	// addresses returns where the instances serve callers.
	addresses() []string
	// account returns an account with its key.
	account(name string) load.Account
	// open opens a session as the load does.
	open() load.OpenFunc
	// openStrict opens a session that sees every acknowledged write.
	openStrict() load.OpenFunc
	// configureLoad sets how the sessions of a load connect, and what they may expect.
	configureLoad(*load.Config)
	// crashPrimary ends the primary and returns its name; restart brings it back.
	crashPrimary() string
	restartPrimary() error
	// withdrawKeys takes the keys of an account away.
	withdrawKeys(ctx context.Context, account string) error
	// readFinalContent is what the primary holds.
	readFinalContent(ctx context.Context, r *load.Result) error
	// toleratedLimit returns what an account may get at most.
	toleratedLimit(history.Limit) history.Limit
	// replicaReadShare returns the part of the reads that replicas served.
	replicaReadShare() float64
	close()
}

// postgresEnvironment is a deployment of the product's own interface, in this process.
type postgresEnvironment struct {
	deployment    *local.Deployment
	reads         *readCounter
	crashedServer int
}

func (s *postgresEnvironment) addresses() []string {
	var out []string
	for _, i := range s.deployment.Instances {
		out = append(out, i.Address)
	}
	return out
}

func (s *postgresEnvironment) account(name string) load.Account {
	return load.Account{Name: name, Key: s.deployment.Key(name)}
}

func (s *postgresEnvironment) open() load.OpenFunc {
	return load.OpenPostgres(local.DatabaseName)
}

func (s *postgresEnvironment) openStrict() load.OpenFunc {
	return s.open()
}

func (s *postgresEnvironment) configureLoad(c *load.Config) {
	c.Open = s.open()
}

func (s *postgresEnvironment) crashPrimary() string {
	s.crashedServer = s.deployment.Group.Primary()
	s.deployment.Group.Kill(s.crashedServer)
	return string(s.deployment.Group.Server(s.crashedServer).ID())
}

func (s *postgresEnvironment) restartPrimary() error {
	return s.deployment.Group.Restart(s.crashedServer)
}

func (s *postgresEnvironment) withdrawKeys(ctx context.Context, account string) error {
	return s.deployment.WithdrawKeys(ctx, account)
}

func (s *postgresEnvironment) readFinalContent(ctx context.Context, r *load.Result) error {
	primary := s.deployment.Group.Server(s.deployment.Group.Primary())
	return r.ReadFinalContent(ctx, primary.Address(), "", load.Account{Name: "demo"})
}

func (s *postgresEnvironment) toleratedLimit(l history.Limit) history.Limit {
	return l
}

func (s *postgresEnvironment) replicaReadShare() float64 {
	n := s.reads.total.Load()
	if n == 0 {
		return 0
	}
	return float64(s.reads.onReplica.Load()) / float64(n)
}

func (s *postgresEnvironment) close() {
	s.deployment.Close()
}
