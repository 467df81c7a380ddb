// Package engine runs client sessions: it receives PostgreSQL messages from a caller, asks the
// decision packages where each statement may run, forwards it and returns the answer.
package engine

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// Target is the server chosen for a statement, as it was known when it was chosen.
type Target struct {
	Server      authority.ServerID
	Address     string // IP:port
	Term        uint64
	Incarnation uint64
	Primary     bool
	// Floor is the floor that Read applied, including the sample if one was requested; zero if unknown.
	Floor position.Position
	// Verify, if set, returns nil once the answer of this server is known to include the sample
	// that the read asked for. Until then no part of the answer may reach the caller. After an error
	// the read has to be placed again, on a server that has the sample if the error is *UncoveredError.
	Verify func(ctx context.Context) error
}

// UncoveredError means that the chosen server was not known to have replayed up to the sample of a read.
type UncoveredError struct {
	Sample position.Position // begun after the read arrived
}

// Error implements error.
func (e *UncoveredError) Error() string {
	return "the chosen replica did not cover the sample " + e.Sample.String()
}

// ReadRequest is a request for a server that may answer a read.
type ReadRequest struct {
	Floor        position.Position // the answer must include everything up to here
	Sample       bool              // raise the floor to a majority sample that begins after the call
	KnownSample  position.Position // a sample taken earlier for this read, zero if none; if set, Sample is false
	MaxStaleness time.Duration     // above 0: data of this age is accepted beyond the floor
	Wait         time.Duration     // for a replica to reach the floor before the primary is chosen
	VerifyLater  bool              // the target may have a Verify that runs concurrently with the read
	Exclude      []authority.ServerID
}

// Database is the engine's view of one database group. All errors are *outcome.Error. All methods are
// safe for concurrent use.
type Database interface {
	// Read chooses a server for a read: a replica, or the primary once a majority has shown that its
	// term is not superseded. It returns outcome.LostWrite when the floor is not part of the current
	// primary's history.
	Read(ctx context.Context, r ReadRequest) (Target, error)
	// Primary returns the current primary. During a failover it waits for one until ctx ends.
	Primary(ctx context.Context) (Target, error)
	// Confirm returns the session's new floor once the writes that t answered before the call are
	// confirmed in mode, or else an error of kind outcome.Unknown.
	Confirm(ctx context.Context, t Target, mode manifest.Acknowledge) (position.Position, error)
	// ReportFailure reports that a connection to t failed, so that its health is checked at once.
	ReportFailure(t Target, err error)
}

// Conn is a connection to a server, owned by one caller until it is released.
type Conn interface {
	// Frontend sends to and receives from the server.
	Frontend() *pgproto3.Frontend
	// SetDeadline bounds pending and later reads and writes; the zero time removes the bound.
	SetDeadline(t time.Time) error
	// Cancel asks the server to cancel the running statement, over a separate connection.
	Cancel(ctx context.Context) error
	// EndStatement releases the execution slot between two statements of a transaction.
	EndStatement()
	// BeginStatement acquires a slot again, in the fair order of the server's queue. It returns
	// *outcome.Error of kind NotRun if there is none within timeout.
	BeginStatement(ctx context.Context, timeout time.Duration) error
	// Release returns the connection to the pool. It is closed unless reuse is true; a connection must be
	// idle and outside a transaction to be reused.
	Release(reuse bool)
}

// AcquireRequest is a request for a connection to a server.
type AcquireRequest struct {
	Target  Target
	Account string
	Weight  int
	Timeout time.Duration // of the wait in the queue
	// Deferred allows a connection that is not granted yet. Its first write is then sent along with the
	// request, and if that is refused, reads return *RefusedError.
	Deferred bool
	// SingleExchange states that the connection is needed for the first flush and its answer only, unless
	// that leaves a transaction open. The pool may reclaim the connection at the end of the answer; later
	// use of it has no effect.
	SingleExchange bool
}

// RefusedError is returned by reads on a deferred connection that was not granted. It proves that none of
// the written data has reached a server.
type RefusedError struct {
	Outcome   *outcome.Error // of kind NotRun
	HomeMoved bool           // another instance holds the server's connections now
}

// Error implements error.
func (e *RefusedError) Error() string {
	return e.Outcome.Error()
}

// Unwrap returns the outcome that is reported to the caller.
func (e *RefusedError) Unwrap() error {
	return e.Outcome
}

// LentConn is a Conn lent by another instance. After each Release its Frontend may use another connection
// to the server, and its first statement may have waited in a queue of that instance.
type LentConn interface {
	Conn
	// Waited returns the time spent in that queue. It is called between two statements.
	Waited() time.Duration
}

// Pool provides connections to servers. Acquire returns *outcome.Error of kind NotRun if there is none in
// time. It never returns a connection to another incarnation of the server than the target's.
type Pool interface {
	Acquire(ctx context.Context, r AcquireRequest) (Conn, error)
}

// Quota admits statements by an account's rate and burst over all instances. Admit doesn't wait: it returns
// nil, or *outcome.Error of kind NotRun with a retry-after.
type Quota interface {
	Admit(ctx context.Context, account string) error
}

// Login is an authenticated caller.
type Login struct {
	Route   manifest.Route // with defaults filled in
	Account manifest.Account
	KeyID   string
	// Version is the version of the manifest that Route and Account come from.
	Version uint64
	// Withdrawn is closed when the key, the account or its right to the route is withdrawn.
	Withdrawn <-chan struct{}
}

// Directory authenticates callers by the current manifest. Authenticate returns *outcome.Error of kind
// Denied for a wrong route, account or key, and of kind NotRun when this instance can't know whether keys
// are still valid.
type Directory interface {
	// NeedsKey reports whether the route requires a key. It fails if the route doesn't exist.
	NeedsKey(route string) (needsKey bool, err error)
	// Authenticate checks key for account on route; account and key are ignored on open routes.
	Authenticate(route, account, key string) (Login, error)
	// Check returns an error if statements of this login may not run now.
	Check(l Login) error
	// Refresh updates the settings of l's route and account to the current manifest. It doesn't change a
	// login whose right was withdrawn; Check reports that.
	Refresh(l *Login)
	// Database returns the database with this name in the manifest.
	Database(name string) (Database, error)
}
