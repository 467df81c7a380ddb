package engine

import (
	"crypto/tls"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of the limits in Config.
const (
	DefaultMaxSessions              = 100_000
	DefaultMaxStartupSize           = 10_000    // bytes, as PostgreSQL
	DefaultMaxMessageSize           = 1 << 20   // bytes
	DefaultMaxPipelineSize          = 4 << 20   // bytes
	DefaultMaxResultMessageSize     = 64 << 20  // bytes
	DefaultMaxWithheldSize          = 256 << 10 // bytes
	DefaultMaxPreparedStatements    = 1000
	DefaultMaxPreparedSize          = 4 << 20 // bytes
	DefaultUpstreamStatements       = 64
	DefaultStartupTimeout           = 10 * time.Second
	DefaultReceiveTimeout           = 60 * time.Second
	DefaultWriteTimeout             = 10 * time.Second
	DefaultPrimaryWait              = 5 * time.Second
	DefaultIdleInTransactionTimeout = 60 * time.Second
	DefaultDrainTimeout             = 30 * time.Second
	DefaultMaxAttempts              = 3
)

// Config holds the dependencies and limits of a Server. Directory, Pool and Quota are required,
// and TLS unless AllowPlain is set. A zero limit means its default.
type Config struct {
	Directory Directory
	Pool      Pool
	Quota     Quota
	Observer  Observer // may be nil

	TLS        *tls.Config
	AllowPlain bool // accept callers without TLS; their keys cross the network in clear text

	// ServerVersion is announced to callers as server_version.
	ServerVersion string

	MaxSessions           int // concurrent connections of callers, those in start-up included
	MaxStartups           int // concurrent connections in start-up; more are refused at once
	MaxHandshakes         int // TLS handshakes that use the processor at the same time
	MaxStartupSize        int // bytes of a start-up packet or password message
	MaxMessageSize        int // bytes of one message from a caller
	MaxPipelineSize       int // bytes of the messages up to Sync
	MaxResultMessageSize  int // bytes of one message from a server, such as a row
	MaxWithheldSize       int // bytes of an answer held back until its write is confirmed or its read verified
	MaxPreparedStatements int // prepared statements, and portals, of one session
	MaxPreparedSize       int // bytes of SQL text of the prepared statements of one session
	UpstreamStatements    int // prepared statements cached on one upstream connection

	StartupTimeout           time.Duration // from accept to the first ReadyForQuery
	ReceiveTimeout           time.Duration // for the rest of a message, and for the next message of a pipeline
	WriteTimeout             time.Duration // of one write to a caller
	PrimaryWait              time.Duration // wait for a primary during a failover
	IdleInTransactionTimeout time.Duration
	DrainTimeout             time.Duration // wait for open transactions on Shutdown
	MaxAttempts              int           // attempts for one statement

	// AllowRetry charges one retry to the route's retry budget; nil allows every retry within
	// MaxAttempts.
	AllowRetry func(route string) bool
}

func (c *Config) validate() error {
	if c.Directory == nil || c.Pool == nil || c.Quota == nil {
		return errors.New("engine: Directory, Pool and Quota are required")
	}
	if c.TLS == nil && !c.AllowPlain {
		return errors.New("engine: no TLS configuration; set TLS, or AllowPlain for tests")
	}
	return nil
}

func (c Config) withDefaults() Config {
	if c.Observer == nil {
		c.Observer = noObserver{}
	}
	if c.ServerVersion == "" {
		c.ServerVersion = "16.0"
	}
	defaultInt(&c.MaxSessions, DefaultMaxSessions)
	defaultInt(&c.MaxStartups, DefaultMaxStartups())
	defaultInt(&c.MaxHandshakes, DefaultMaxHandshakes())
	defaultInt(&c.MaxStartupSize, DefaultMaxStartupSize)
	defaultInt(&c.MaxMessageSize, DefaultMaxMessageSize)
	defaultInt(&c.MaxPipelineSize, DefaultMaxPipelineSize)
	defaultInt(&c.MaxResultMessageSize, DefaultMaxResultMessageSize)
	defaultInt(&c.MaxWithheldSize, DefaultMaxWithheldSize)
	defaultInt(&c.MaxPreparedStatements, DefaultMaxPreparedStatements)
	defaultInt(&c.MaxPreparedSize, DefaultMaxPreparedSize)
	defaultInt(&c.UpstreamStatements, DefaultUpstreamStatements)
	defaultInt(&c.MaxAttempts, DefaultMaxAttempts)
	defaultDuration(&c.StartupTimeout, DefaultStartupTimeout)
	defaultDuration(&c.ReceiveTimeout, DefaultReceiveTimeout)
	defaultDuration(&c.WriteTimeout, DefaultWriteTimeout)
	defaultDuration(&c.PrimaryWait, DefaultPrimaryWait)
	defaultDuration(&c.IdleInTransactionTimeout, DefaultIdleInTransactionTimeout)
	defaultDuration(&c.DrainTimeout, DefaultDrainTimeout)
	return c
}

func defaultInt(v *int, fallback int) {
	if *v <= 0 {
		*v = fallback
	}
}

func defaultDuration(v *time.Duration, fallback time.Duration) {
	if *v <= 0 {
		*v = fallback
	}
}
