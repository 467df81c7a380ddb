package engine

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// Observer receives events about sessions and statements, for metrics and logs. Its methods are called
// concurrently and must not block.
type Observer interface {
	// StartupRefused reports a connection from remote (IP:port) that did not become a session. err is an
	// *outcome.Error, or an error of the connection.
	StartupRefused(remote string, err error)
	SessionOpened(Session)
	// SessionClosed reports why the session ended; err is nil if the caller closed it.
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
	Wait     time.Duration // for admission, the choice of a server and a connection to it
	Run      time.Duration // on the server, including the relay of the answer to the caller
	Confirm  time.Duration // waiting for the confirmation of a write
}

// Outcome is the result of a unit: an outcome kind of package outcome, or one of the values below.
type Outcome string

const (
	// OutcomeOK is a unit that succeeded.
	OutcomeOK Outcome = "ok"
	// OutcomeServerError is a unit that a server answered with an error.
	OutcomeServerError Outcome = "server_error"
	// OutcomeCallerGone is a unit whose caller disconnected before the end of the answer.
	OutcomeCallerGone Outcome = "caller_gone"
)

type noObserver struct{}

func (noObserver) StartupRefused(string, error) {}
func (noObserver) SessionOpened(Session)        {}
func (noObserver) SessionClosed(Session, error) {}
func (noObserver) StatementDone(Statement)      {}
