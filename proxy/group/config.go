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

// Timeouts of calls to servers and to other instances.
const (
	// DefaultProbeTimeout bounds one probe. It is well above the round trip between regions
	// (40 ms) plus a new connection (30 ms), and short enough for three probes to fail within a second.
	DefaultProbeTimeout = 300 * time.Millisecond
	// lateAnswerLimit bounds the wait for the answer to a probe over a new connection, which has failed by then. A server that
	// answers late is slow or was paused, which is no reason to replace it.
	lateAnswerLimit = authority.DefaultSuspectAfter
	// DefaultOrderTimeout bounds one fence or promotion.
	DefaultOrderTimeout = 500 * time.Millisecond
	// surveyTimeout bounds one survey of the other instances. It allows several round trips between
	// regions and is shorter than the time after which an unresponsive server is judged lost.
	surveyTimeout = 300 * time.Millisecond
)

// Adapter provides the control calls of one server over two kinds of connection.
type Adapter struct {
	// Persistent may reuse its connection between calls.
	Persistent dbgroup.Server
	// Fresh opens a connection for each call, so that a silent connection doesn't make a working server
	// appear unreachable. Persistent and Fresh may be called concurrently.
	Fresh dbgroup.Server
	// Close, if set, is called once when the group ends. It closes the connections of Persistent and
	// Fresh, including those of calls still in progress.
	Close func()
}

// Observer is notified of a group's activity. Its methods must not block.
type Observer interface {
	// PrimaryChanged reports the new primary, or an empty server if none is known.
	PrimaryChanged(server authority.ServerID, term uint64)
	// PromotionAttempted reports a promotion that was ordered, and the reason.
	PromotionAttempted(server authority.ServerID, term uint64, reason authority.Reason)
	// ProbeRoundTrip reports the duration of a successful probe.
	ProbeRoundTrip(server authority.ServerID, d time.Duration)
	// ConfirmLatency reports the duration of a confirmation and whether the write was confirmed.
	ConfirmLatency(mode manifest.Acknowledge, d time.Duration, confirmed bool)
}

// Config configures a Group.
type Config struct {
	Database string
	Servers  []manifest.Server
	// Instance is the name of this instance. It and a random suffix form the owner of its fences.
	Instance      string
	Region        string
	FailureDomain string
	// Connect returns the adapter of a server; it must not block.
	Connect  func(manifest.Server) Adapter
	Logger   logrus.FieldLogger
	Observer Observer // optional
	// CoverPrimary must be set if a route to this database acknowledges in primary mode:
	// samples then include the primary's own position.
	CoverPrimary bool
	// ManifestIsNew is set if the manifest with this database arrived while the instance was running, so
	// that other instances may not have adopted it yet.
	ManifestIsNew bool
	// Survey asks the other instances whether they have lost a primary. It sets Asked, Lost and Reaching
	// of the result and returns when ctx ends at the latest; ok is false if the other instances
	// aren't known. Without Survey, a primary that is still in contact with replicas is only replaced
	// after UnreachableAfter.
	Survey func(ctx context.Context, server authority.ServerID, term uint64) (views authority.PeerViews, ok bool)
	// Outstanding returns the number of connections to a server that this instance uses or waits for; nil
	// counts as 0.
	Outstanding func(authority.ServerID) int
	// Timings default to those of decision/authority.
	Timings      authority.Timings
	ProbeTimeout time.Duration
	OrderTimeout time.Duration
	// Seed seeds the jitter; 0 chooses a random seed.
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
