// Package demo runs a whole deployment in one process under a small load, causes the failures that
// the product is for, and reports what the callers experienced, beside a plain policy in the same
// run.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/local"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/proxy/daemon"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
)

const (
	instances = 2
	// minDuration leaves room for a failover, a recovery and the events after it.
	minDuration = 6 * time.Second
)

// Config describes a run.
type Config struct {
	Duration time.Duration // of both policies together
	Seed     uint64
	Listen   string // IP:port; the second instance takes the next port. Empty: none
	Platform bool   // run on the stand-in of the users' platform, without a plain policy
	Progress io.Writer
	// OnReport is called with the report before the demo goes on serving.
	OnReport func(*Report) error
}

// Validate reports what is wrong with the configuration.
func (c Config) Validate() error {
	if c.Duration < minDuration {
		return errors.Newf("--duration: %s is too short for the failures to be seen; give %s or more", c.Duration, minDuration)
	}
	if c.Listen == "" {
		return nil
	}
	if c.Platform {
		return errors.New("--listen: it serves PostgreSQL clients, which the users' platform has not; leave out --listen or --platform")
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return errors.Newf("--listen: %q is not IP:port; write it like 127.0.0.1:6432", c.Listen)
	}
	return nil
}

// The accounts of the demo. Offered rates are statements a second.
type accountLoad struct {
	local.Account
	offeredRate float64
	sessions    int
	// firstInstanceOnly sessions all start at the first instance, so that a static share is too small.
	firstInstanceOnly bool
	startFraction     float64 // part of the run after which the load begins
}

const (
	surgeAccount     = "festival"
	withdrawnAccount = "former-depot"
	moverAccount     = "officers"
)

// VisitorAccount and VisitorKey let anybody connect to the address that the demo serves on.
const (
	VisitorAccount = "visitor"
	VisitorKey     = "demo"
)

// visitorRate lets a test client send as fast as it can.
const visitorRate = 100_000

func accountLoads() []accountLoad {
	return []accountLoad{
		{Account: local.Account{Name: "marshals", Weight: 2, Rate: 200, Burst: 200}, offeredRate: 120, sessions: 12},
		{Account: local.Account{Name: "secretaries", Weight: 1, Rate: 100, Burst: 50}, offeredRate: 80, sessions: 8, firstInstanceOnly: true},
		{Account: local.Account{Name: moverAccount, Weight: 1, Rate: 400, Burst: 400}},
		{Account: local.Account{Name: withdrawnAccount, Weight: 1, Rate: 50, Burst: 50}, offeredRate: 25, sessions: 4},
		{Account: local.Account{Name: VisitorAccount, Weight: 1, Rate: visitorRate, Burst: visitorRate, Key: VisitorKey}},
		{Account: local.Account{Name: surgeAccount, Weight: 1, Rate: 60, Burst: 60}, offeredRate: 240, sessions: 8, startFraction: 0.5},
	}
}

// Run runs both policies, ours first, so that Listen is served from the start; on the users' platform ours alone. It
// hands the report to Config.OnReport and then serves until ctx ends if Listen is set.
func Run(ctx context.Context, c Config) (*Report, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	if c.Platform {
		return c.runOnPlatform(ctx)
	}
	return c.runBoth(ctx)
}

func (c Config) runOnPlatform(ctx context.Context) (*Report, error) {
	c.progressf("cyclamenstile on the stand-in of the users' platform")
	figures, err := platformFigures(ctx, c)
	if err != nil {
		return nil, err
	}
	report := &Report{Figures: figures, Seed: c.Seed}
	return report, c.OnReport(report)
}

func (c Config) runBoth(ctx context.Context) (*Report, error) {
	listeners, err := c.openListeners()
	if err != nil {
		return nil, err
	}
	half := c.Duration / 2
	c.progressf("cyclamenstile")
	ours, err := startPolicy(ctx, c, nil, listeners)
	if err != nil {
		return nil, err
	}
	defer ours.close()
	report := &Report{Seed: c.Seed}
	if report.Figures, err = newPolicyRun(c, half, ours).figures(ctx); err != nil {
		return nil, err
	}
	plain, err := measureBaseline(ctx, c, half)
	if err != nil {
		return nil, errors.Wrap(err, "run the plain policy")
	}
	report.Baseline = &plain
	if err := c.OnReport(report); err != nil || listeners == nil {
		return report, err
	}
	c.serve(ctx, ours.deployment)
	return report, nil
}

func measureBaseline(ctx context.Context, c Config, duration time.Duration) (Figures, error) {
	c.progressf("plain policy: all reads on the primary, static shares of the rates")
	plain, err := startPolicy(ctx, c, &daemon.BaselinePolicy{Instances: instances}, nil)
	if err != nil {
		return Figures{}, err
	}
	defer plain.close()
	return newPolicyRun(c, duration, plain).figures(ctx)
}

// serve shows how to connect and waits for an interrupt.
func (c Config) serve(ctx context.Context, d *local.Deployment) {
	c.progressf("serving until interrupted; table kv(key text, value text); connect with:")
	for i := range d.Instances {
		c.progressf("  %s", d.URL(i, local.DatabaseName, VisitorAccount))
	}
	<-ctx.Done()
}

func (c Config) progressf(format string, args ...any) {
	if c.Progress != nil {
		fmt.Fprintf(c.Progress, format+"\n", args...)
	}
}

// openListeners opens the ports that the demo goes on serving on.
func (c Config) openListeners() ([]net.Listener, error) {
	if c.Listen == "" {
		return nil, nil
	}
	address, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return nil, err
	}
	var out []net.Listener
	for i := range instances {
		at := netip.AddrPortFrom(address.Addr(), address.Port()+uint16(i))
		l, err := net.Listen("tcp", at.String())
		if err != nil {
			for _, open := range out {
				_ = open.Close()
			}
			return nil, errors.Wrapf(err, "--listen: port %d is taken; choose a port that is free together with the next", at.Port())
		}
		out = append(out, l)
	}
	return out, nil
}

// deploymentConfig describes the whole of one run: three servers with the smaller deployment's scarcity.
func deploymentConfig(c Config, plain *daemon.BaselinePolicy, listeners []net.Listener, s *readCounter) local.Config {
	var accounts []local.Account
	var names []string
	for _, o := range accountLoads() {
		accounts = append(accounts, o.Account)
		names = append(names, o.Name)
	}
	return local.Config{
		Instances: instances,
		Server: database.Config{
			ReplicationLag:    5 * time.Millisecond,
			ReplicationJitter: 10 * time.Millisecond,
			ConnectCost:       10 * time.Millisecond,
			MaxConnections:    20,
			Slots:             3,
			ServiceTime:       500 * time.Microsecond,
			Seed:              c.Seed,
		},
		Accounts: accounts,
		Routes: []manifest.Route{{
			Name: local.DatabaseName, Database: local.DatabaseName, Accounts: names,
		}},
		Listeners: listeners,
		Adjust: func(_ int, cfg *daemon.Config) {
			cfg.Baseline = plain
			cfg.OnStatement = s.observe
			cfg.DrainTimeout = 2 * time.Second
		},
	}
}
