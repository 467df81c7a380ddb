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
	// openStrictly opens a session that sees every acknowledged write.
	openStrictly() load.OpenFunc
	// adjust sets how the sessions of a load connect, and what they may expect.
	adjust(*load.Config)
	// crash ends the primary and returns its name; restart brings it back.
	crash() string
	restart() error
	// withdraw takes the keys of an account away.
	withdraw(ctx context.Context, account string) error
	// content is what the primary holds.
	content(ctx context.Context, r *load.Result) error
	// tolerated returns what an account may get at most.
	tolerated(history.Limit) history.Limit
	// replicaReadShare returns the part of the reads that replicas served.
	replicaReadShare() float64
	close()
}

// postgresEnvironment is a deployment of the product's own interface, in this process.
type postgresEnvironment struct {
	deployment *local.Deployment
	statements *statements
	killed     int
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

func (s *postgresEnvironment) openStrictly() load.OpenFunc {
	return s.open()
}

func (s *postgresEnvironment) adjust(c *load.Config) {
	c.Open = s.open()
}

func (s *postgresEnvironment) crash() string {
	s.killed = s.deployment.Group.Primary()
	s.deployment.Group.Kill(s.killed)
	return string(s.deployment.Group.Server(s.killed).ID())
}

func (s *postgresEnvironment) restart() error {
	return s.deployment.Group.Restart(s.killed)
}

func (s *postgresEnvironment) withdraw(ctx context.Context, account string) error {
	return s.deployment.WithdrawKeys(ctx, account)
}

func (s *postgresEnvironment) content(ctx context.Context, r *load.Result) error {
	primary := s.deployment.Group.Server(s.deployment.Group.Primary())
	return r.ReadFinal(ctx, primary.Address(), "", load.Account{Name: "demo"})
}

func (s *postgresEnvironment) tolerated(l history.Limit) history.Limit {
	return l
}

func (s *postgresEnvironment) replicaReadShare() float64 {
	n := s.statements.reads.Load()
	if n == 0 {
		return 0
	}
	return float64(s.statements.onReplica.Load()) / float64(n)
}

func (s *postgresEnvironment) close() {
	s.deployment.Close()
}
