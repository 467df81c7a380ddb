// Package engine runs client sessions: it takes PostgreSQL messages from a caller, asks the
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

// Target is a server chosen for a statement, as known when it was chosen.
type Target struct {
	Server      authority.ServerID
	Address     string // IP:port
	Term        uint64
	Incarnation uint64
	Primary     bool
	// Floor is the floor that Read applied, with the sample if one was asked for; zero if unknown.
	Floor position.Position
	// Verify, if set, returns nil once the answer of this server is known to include the sample
	// that the read asked for. Until then no part of the answer may reach the caller; after an
	// error the read has to be placed again, behind the sample if the error is *UncoveredError.
	Verify func(ctx context.Context) error
}

// UncoveredError tells that a server was not known to have the sample of a read.
type UncoveredError struct {
	Sample position.Position // begun after the read arrived
}

// Error names the sample.
func (e *UncoveredError) Error() string {
	return "the chosen replica did not cover the sample " + e.Sample.String()
}

// ReadRequest asks for a server that may answer a read.
type ReadRequest struct {
	Floor        position.Position // the answer must include everything up to here
	Sample       bool              // raise the floor to a majority sample begun after the call
	KnownSample  position.Position // such a sample that was taken already, else zero; Sample is false then
	MaxStaleness time.Duration     // above 0: data of this age is accepted beyond the floor
	Wait         time.Duration     // for a replica to reach the floor before the primary is taken
	VerifyLater  bool              // the target may have a Verify that runs beside the read
	Exclude      []authority.ServerID
}

// Database is the view of one database group that the engine needs. All errors are
// *outcome.Error. All methods are safe for concurrent use.
type Database interface {
	// Read chooses a server for a read: a replica, or the primary once a majority has shown
	// that its term is not superseded. It returns outcome.LostWrite when the floor is not part
	// of the present primary's history.
	Read(ctx context.Context, r ReadRequest) (Target, error)
	// Primary returns the present primary and waits for one within ctx during a failover.
	Primary(ctx context.Context) (Target, error)
	// Confirm returns nil error and the session's new floor once the writes that t had answered
	// before the call are confirmed in mode; otherwise outcome.Unknown.
	Confirm(ctx context.Context, t Target, mode manifest.Acknowledge) (position.Position, error)
	// ReportFailure tells that a connection to t failed, so that its health is checked now.
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
	// EndStatement gives the execution slot back between two statements of a transaction.
	EndStatement()
	// BeginStatement takes a slot again, in the fair order of the server's queue. It returns
	// *outcome.Error of kind NotRun when it can't within timeout.
	BeginStatement(ctx context.Context, timeout time.Duration) error
	// Release gives the connection back. With reuse false it is closed; a connection must be
	// idle and outside a transaction to be reused.
	Release(reuse bool)
}

// AcquireRequest asks for a connection to a server.
type AcquireRequest struct {
	Target  Target
	Account string
	Weight  int
	Timeout time.Duration // in the queue
	// Deferred allows a connection whose grant is still to come. Its first write then goes with the
	// request, and if that is refused, reads return *RefusedError.
	Deferred bool
	// SingleExchange promises that the first flush of a deferred connection holds all that it is needed for,
	// unless it leaves a transaction open. The pool may take the connection back at the end of the
	// answer; what is done with it afterwards has no effect.
	SingleExchange bool
}

// RefusedError is the error of reads on a deferred connection that was not granted. It proves that
// nothing of what was written has reached a server.
type RefusedError struct {
	Outcome   *outcome.Error // of kind NotRun
	HomeMoved bool           // the server's connections are held by another instance now
}

// Error implements error.
func (e *RefusedError) Error() string {
	return e.Outcome.Error()
}

// Unwrap gives the outcome that the caller is told.
func (e *RefusedError) Unwrap() error {
	return e.Outcome
}

// LentConn is a Conn that another instance lends. Its Frontend serves another connection to a server
// after each Release, and it may have waited in a queue during its first statement.
type LentConn interface {
	Conn
	// Waited returns the time in that queue. It is called between two statements.
	Waited() time.Duration
}

// Pool lends connections. Acquire returns *outcome.Error of kind NotRun when it can't in time.
// A connection of another incarnation than the target's is never returned.
type Pool interface {
	Acquire(ctx context.Context, r AcquireRequest) (Conn, error)
}

// Quota admits statements against an account's rate and burst over all instances. Admit returns
// nil, or *outcome.Error of kind NotRun with a retry-after at once.
type Quota interface {
	Admit(ctx context.Context, account string) error
}

// Login is an authenticated caller.
type Login struct {
	Route   manifest.Route // with defaults filled in
	Account manifest.Account
	KeyID   string
	// Version is that of the manifest from which Route and Account were taken.
	Version uint64
	// Withdrawn is closed when the key, the account or its right to the route is withdrawn.
	Withdrawn <-chan struct{}
}

// Directory authenticates callers against the manifest in force. Authenticate returns
// *outcome.Error of kind Denied for a wrong route, account or key, and NotRun when this instance can't
// know whether keys are still valid.
type Directory interface {
	// NeedsKey reports whether the route exists and whether it asks for a key.
	NeedsKey(route string) (needsKey bool, err error)
	// Authenticate checks key for account on route; account and key are ignored on open routes.
	Authenticate(route, account, key string) (Login, error)
	// Check reports whether statements of this login may run now.
	Check(l Login) error
	// Refresh brings the settings of l's route and account up to date with the manifest in force. It
	// leaves a login as it is whose right is gone, which Check reports.
	Refresh(l *Login)
	// Database returns the view of a database by its manifest name.
	Database(name string) (Database, error)
}
