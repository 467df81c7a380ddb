// Package demo runs a whole deployment in one process under a small load, injects the failures that
// the proxy is designed to handle, and reports what callers experienced, compared with a plain policy
// in the same run.
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
	// minDuration is long enough for a failover, the restart of the old primary and the later events.
	minDuration = 6 * time.Second
)

// Config describes a run.
type Config struct {
	Duration time.Duration // of both policies together
	Seed     uint64
	Listen   string // IP:port; the second instance uses the next port. Empty: none
	Platform bool   // run on the stand-in of the users' platform, without a plain policy
	Progress io.Writer
	// OnReport is called with the report before the demo goes on serving.
	OnReport func(*Report) error
}

// Validate returns an error that names the first invalid setting and how to correct it.
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

// accountLoad is a client account of the demo and the load that it offers.
type accountLoad struct {
	local.Account
	offeredRate float64 // statements per second
	sessions    int
	// firstInstanceOnly connects all sessions to the first instance, whose static share of the rate is too small for them.
	firstInstanceOnly bool
	startFraction     float64 // fraction of the run after which the load starts
}

const (
	surgeAccount     = "festival"
	withdrawnAccount = "former-depot"
	moverAccount     = "officers"
)

// VisitorAccount and VisitorKey are the fixed credentials for clients that connect to Config.Listen.
const (
	VisitorAccount = "visitor"
	VisitorKey     = "demo"
)

// visitorRate is high enough not to limit a client that is used for testing, in statements per second.
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

// Run runs the proxy's policy and then the plain policy; with Config.Platform only the proxy's. The proxy's policy runs
// first so that Config.Listen is served from the start. Run passes the report to Config.OnReport and then, if
// Config.Listen is set, serves until ctx is canceled.
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
	proxied, err := startPolicy(ctx, c, nil, listeners)
	if err != nil {
		return nil, err
	}
	defer proxied.close()
	report := &Report{Seed: c.Seed}
	if report.Figures, err = newPolicyRun(c, half, proxied).figures(ctx); err != nil {
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
	c.serve(ctx, proxied.deployment)
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

// serve prints how to connect and waits until ctx is canceled.
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

// openListeners opens the ports that the demo still serves on after the report.
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

// deploymentConfig returns the configuration of one run: three servers with the limits of the smaller deployment.
func deploymentConfig(c Config, plain *daemon.BaselinePolicy, listeners []net.Listener, reads *readCounter) local.Config {
	var accounts []local.Account
	var names []string
	for _, a := range accountLoads() {
		accounts = append(accounts, a.Account)
		names = append(names, a.Name)
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
			cfg.OnStatement = reads.observe
			cfg.DrainTimeout = 2 * time.Second
		},
	}
}
