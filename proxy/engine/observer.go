package engine

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// Observer is told about sessions and statements, for metrics and logs. Its methods are called
// from many goroutines and must not block.
type Observer interface {
	// StartupRefused tells of a connection from remote (IP:port) that did not become a session: err
	// is an *outcome.Error, or an error of the connection.
	StartupRefused(remote string, err error)
	SessionOpened(Session)
	// SessionClosed names why the session ended; err is nil when the caller left.
	SessionClosed(s Session, err error)
	StatementDone(Statement)
}

// Session describes a caller's connection.
type Session struct {
	Account string
	Route   string
	KeyID   string
	Remote  string // IP:port
	Opened  time.Time
}

// Statement describes one finished unit: a simple query, or a pipeline up to Sync.
type Statement struct {
	Account  string
	Route    string
	Server   authority.ServerID // empty when no server was reached
	Primary  bool
	Read     bool
	Outcome  Outcome
	Code     string // SQLSTATE of the error, empty without one
	Attempts int
	Wait     time.Duration // for admission, a target and a connection
	Run      time.Duration // on the server, with the answer's way to the caller
	Confirm  time.Duration // for the confirmation of a write
}

// Outcome names how a unit ended: the outcome kinds of package outcome, or one of these.
type Outcome string

const (
	// OutcomeOK is a unit that succeeded.
	OutcomeOK Outcome = "ok"
	// OutcomeServerError is a unit that a server answered with an error.
	OutcomeServerError Outcome = "server_error"
	// OutcomeCallerGone is a unit whose caller went away before the end of the answer.
	OutcomeCallerGone Outcome = "caller_gone"
)

type noObserver struct{}

func (noObserver) StartupRefused(string, error) {}
func (noObserver) SessionOpened(Session)        {}
func (noObserver) SessionClosed(Session, error) {}
func (noObserver) StatementDone(Statement)      {}
