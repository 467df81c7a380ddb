package group

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
)

// Timeouts of calls to servers.
const (
	// DefaultProbeTimeout bounds one probe. It is well above the round trip between regions
	// (40 ms) plus a new connection (30 ms), and lets three probes fail within a second.
	DefaultProbeTimeout = 300 * time.Millisecond
	// DefaultOrderTimeout bounds one fence or promotion.
	DefaultOrderTimeout = 500 * time.Millisecond
	// surveyTimeout bounds one question to the other instances: several round trips between regions,
	// and less than the time that a server has to be silent to be judged lost.
	surveyTimeout = 300 * time.Millisecond
)

// Adapter is the control side of one server over two kinds of connection.
type Adapter struct {
	// Persistent may hold its connection between calls.
	Persistent dbgroup.Server
	// Fresh opens a connection for each call, so that a connection gone silent doesn't hide a
	// working server. Both may be called at the same time.
	Fresh dbgroup.Server
	// Close, if set, is called once when the group ends and closes what Kept and Fresh keep, also
	// connections of calls that are still under way then.
	Close func()
}

// Observer is told what a group does; a nil Observer is allowed. Its methods must not block.
type Observer interface {
	// PrimaryChanged tells the new primary, or an empty server when none is known.
	PrimaryChanged(server authority.ServerID, term uint64)
	// PromotionAttempted tells an ordered promotion and why it was ordered.
	PromotionAttempted(server authority.ServerID, term uint64, reason authority.Reason)
	// ProbeRoundTrip tells how long an answered probe took.
	ProbeRoundTrip(server authority.ServerID, d time.Duration)
	// ConfirmLatency tells how long a confirmation took and whether the write was confirmed.
	ConfirmLatency(mode manifest.Acknowledge, d time.Duration, confirmed bool)
}

// Config describes a database group and its surroundings.
type Config struct {
	Database string
	Servers  []manifest.Server
	// Instance names this instance; fences are placed under it and a random suffix.
	Instance      string
	Region        string
	FailureDomain string
	// Connect returns the adapter of a server; it must not block.
	Connect  func(manifest.Server) Adapter
	Logger   logrus.FieldLogger
	Observer Observer
	// CoverPrimary has to be set when a route to this database acknowledges in primary mode:
	// samples then include the primary's own position.
	CoverPrimary bool
	// ManifestIsNew tells that the manifest which describes the database came while the instance ran, so that
	// others may not have adopted it yet.
	ManifestIsNew bool
	// Survey asks other instances whether they have lost a primary. It sets Asked, Lost and Reaching
	// of the result and returns when ctx ends at the latest; ok is false when the other instances
	// aren't known. Without it a primary that replicas still hear is left for UnreachableAfter.
	Survey func(ctx context.Context, server authority.ServerID, term uint64) (views authority.PeerViews, ok bool)
	// Outstanding returns the statements in execution on a server; nil counts none.
	Outstanding func(authority.ServerID) int
	// Timings default to those of the design.
	Timings      authority.Timings
	ProbeTimeout time.Duration
	OrderTimeout time.Duration
	// Seed of the jitter; 0 takes a random one.
	Seed int64
}

func (c *Config) validate() error {
	switch {
	case len(c.Servers) == 0:
		return errors.Newf("database %q has no servers; list them in the manifest", c.Database)
	case c.Connect == nil:
		return errors.New("group needs Config.Connect; set it to the factory of server adapters")
	case c.Instance == "":
		return errors.New("group needs Config.Instance; set it to the instance's own name")
	}
	return nil
}

func (c *Config) setDefaults() {
	if c.Logger == nil {
		quiet := logrus.New()
		quiet.SetLevel(logrus.PanicLevel)
		c.Logger = quiet
	}
	if c.Observer == nil {
		c.Observer = noObserver{}
	}
	if c.ProbeTimeout == 0 {
		c.ProbeTimeout = DefaultProbeTimeout
	}
	if c.OrderTimeout == 0 {
		c.OrderTimeout = DefaultOrderTimeout
	}
}

type noObserver struct{}

func (noObserver) PrimaryChanged(authority.ServerID, uint64)                       {}
func (noObserver) PromotionAttempted(authority.ServerID, uint64, authority.Reason) {}
func (noObserver) ProbeRoundTrip(authority.ServerID, time.Duration)                {}
func (noObserver) ConfirmLatency(manifest.Acknowledge, time.Duration, bool)        {}
