// Package daemon runs one instance: it starts the listeners, follows the manifest and the instance
// list, and connects the engine, connection pool, database groups, quota and peers.
package daemon

import (
	"cmp"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/burn"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// Defaults of Config.
const (
	DefaultDrainTimeout    = 30 * time.Second
	DefaultMaxMessageBytes = 16 << 20
	DefaultListPoll        = 5 * time.Second
	// DefaultObjectiveAvailability is in percent of the statements.
	DefaultObjectiveAvailability = 99.9
	DefaultObjectiveLatency      = 250 * time.Millisecond
)

// Config holds the settings of one instance.
type Config struct {
	InstanceID    string
	Region        string
	FailureDomain string

	Listen     string // IP:port for callers
	PeerListen string // IP:port for other instances
	OpsListen  string // IP:port for metrics, health and readiness
	StoreURL   string // http://IP:port of the platform's store

	TLS        *tls.Config // for callers
	AllowPlain bool        // accept callers without TLS
	PeerServer *tls.Config // for calls from other instances; nil: plain TCP
	PeerClient *tls.Config // for calls to other instances; nil: plain TCP

	UpstreamUser     string
	UpstreamPassword string

	// MaxStartups bounds the caller connections in start-up. MaxHandshakes bounds the concurrent TLS
	// handshake computations.
	MaxStartups   int
	MaxHandshakes int

	DrainTimeout    time.Duration
	MaxMessageBytes int
	ListPoll        time.Duration // period of reading the platform's instance list

	// ObjectiveAvailability is the target percentage of good statements. A good statement is answered
	// within ObjectiveLatency.
	ObjectiveAvailability float64
	ObjectiveLatency      time.Duration

	Log logrus.FieldLogger
	// OnStatement, if set, is called after every statement; it must not block.
	OnStatement func(engine.Statement)
	// Baseline, if set, replaces the coordinated decisions for comparison measurements.
	Baseline *BaselinePolicy
	// Dial, if set, opens the connections to database servers and to other instances. Measurements
	// use it to simulate the latency between regions.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Listener, PeerListener and OpsListener, if set, are used in place of the addresses.
	Listener, PeerListener, OpsListener net.Listener
}

// setDefaults sets the defaults of fields that are zero.
func (c *Config) setDefaults() {
	c.DrainTimeout = cmp.Or(c.DrainTimeout, DefaultDrainTimeout)
	c.MaxMessageBytes = cmp.Or(c.MaxMessageBytes, DefaultMaxMessageBytes)
	c.MaxStartups = cmp.Or(c.MaxStartups, engine.DefaultMaxStartups())
	c.MaxHandshakes = cmp.Or(c.MaxHandshakes, engine.DefaultMaxHandshakes())
	c.ListPoll = cmp.Or(c.ListPoll, DefaultListPoll)
	c.ObjectiveAvailability = cmp.Or(c.ObjectiveAvailability, DefaultObjectiveAvailability)
	c.ObjectiveLatency = cmp.Or(c.ObjectiveLatency, DefaultObjectiveLatency)
	if c.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		c.Log = discard
	}
}

// SettingError is an invalid or missing setting.
type SettingError struct {
	Setting string
	Problem string
	Remedy  string
}

// Error returns the setting, the problem and the remedy.
func (e *SettingError) Error() string {
	return "--" + e.Setting + ": " + e.Problem + "; " + e.Remedy
}

// Validate returns all faults of the settings in one error.
func (c Config) Validate() error {
	var faults []error
	addFault := func(setting, problem, remedy string) {
		faults = append(faults, &SettingError{setting, problem, remedy})
	}
	for _, s := range []struct{ name, value string }{
		{"instance-id", c.InstanceID},
		{"region", c.Region},
		{"failure-domain", c.FailureDomain},
		{"upstream-user", c.UpstreamUser},
	} {
		if s.value == "" {
			addFault(s.name, "is not set", "give a name")
		}
	}
	for _, s := range []struct {
		name, value string
		listener    net.Listener
	}{
		{"listen", c.Listen, c.Listener},
		{"peer-listen", c.PeerListen, c.PeerListener},
		{"ops-listen", c.OpsListen, c.OpsListener},
	} {
		if s.listener != nil {
			continue
		}
		address, err := netip.ParseAddrPort(s.value)
		if err != nil {
			addFault(s.name, "is not an IP address with a port: "+quote(s.value), "write it like 127.0.0.1:6432")
		}
		// Peers and the record of fractions identify an instance by this address. Two instances that
		// listen on all addresses would each use the other's fractions as their own.
		if s.name == "peer-listen" && err == nil && address.Addr().IsUnspecified() {
			addFault(s.name, "stands for all addresses: "+quote(s.value), "give the one that the platform's instance list names")
		}
	}
	if problem := storeProblem(c.StoreURL); problem != "" {
		addFault("store", problem, "write it like http://127.0.0.1:7000")
	}
	if c.TLS == nil && !c.AllowPlain {
		addFault("tls-cert", "is not set and plain connections are not allowed",
			"give --tls-cert and --tls-key, or --allow-plain for a trusted network")
	}
	if c.DrainTimeout <= 0 {
		addFault("drain-timeout", "must be above zero", "give a time such as 30s")
	}
	if c.MaxMessageBytes < 1024 {
		addFault("max-message-bytes", "must be 1024 or more", "give the size of the largest statement")
	}
	if c.MaxStartups < 1 {
		addFault("max-startups", "must be 1 or more", "leave it out for the default")
	}
	if c.MaxHandshakes < 1 {
		addFault("max-handshakes", "must be 1 or more", "leave it out for the default")
	}
	if c.ListPoll <= 0 {
		addFault("list-poll", "must be above zero", "give a time such as 5s")
	}
	if !(c.ObjectiveAvailability > 0 && c.ObjectiveAvailability < 100) {
		addFault("objective-availability", "must be above 0 and below 100", "give a percentage such as 99.9")
	}
	if c.ObjectiveLatency <= 0 {
		addFault("objective-latency", "must be above zero", "give a time such as 250ms")
	}
	return errors.Join(faults...)
}

// objective returns the service-level objective of the settings.
func (c Config) objective() burn.Objective {
	return burn.Objective{
		Availability: c.ObjectiveAvailability,
		Latency:      manifest.Duration(c.ObjectiveLatency),
	}
}

func storeProblem(s string) string {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return "is not an http or https address: " + quote(s)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return "does not name the store by IP address and port: " + quote(s)
	}
	return ""
}

func quote(s string) string {
	return `"` + s + `"`
}
