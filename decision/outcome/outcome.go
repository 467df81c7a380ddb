// Package outcome defines the typed errors that a caller may be given. Each error says whether
// the request ran, names the remedy and, where waiting helps, says when to come back.
package outcome

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind tells what is known about the request that failed.
type Kind int

const (
	// NotRun means that the request is proven not to have run: it was never sent, or the server
	// refused it in a way that proves it. Repeating it is safe.
	NotRun Kind = iota + 1
	// Unknown means that the request may have run. Repeating it is safe only if it is idempotent.
	Unknown
	// Denied means that the caller is not allowed to run the request; it did not run.
	Denied
	// Invalid means that the request is malformed or not supported; it did not run.
	Invalid
	// LostWrite means that a write acknowledged to this session is not part of the present
	// primary's history. The request that reports it did not run.
	LostWrite
)

// String names the kind as logs and metrics show it.
func (k Kind) String() string {
	switch k {
	case NotRun:
		return "not_run"
	case Unknown:
		return "outcome_unknown"
	case Denied:
		return "denied"
	case Invalid:
		return "invalid"
	case LostWrite:
		return "lost_write"
	}
	return fmt.Sprintf("kind(%d)", int(k))
}

// SQLSTATE codes used towards callers. Source: PostgreSQL documentation, appendix "Error Codes".
const (
	CodeCannotConnectNow           = "57P03"
	CodeAdminShutdown              = "57P01"
	CodeQueryCanceled              = "57014"
	CodeTooManyRequests            = "53400" // configuration_limit_exceeded
	CodeInsufficientResources      = "53000" // insufficient_resources
	CodeStatementCompletionUnknown = "40003" // statement_completion_unknown
	CodeConnectionFailure          = "08006"
	CodeInvalidAuthorization       = "28000"
	CodeInvalidPassword            = "28P01"
	CodeFeatureNotSupported        = "0A000"
	CodeUndefinedDatabase          = "3D000"
	CodeProtocolViolation          = "08P01"
	CodeReadOnly                   = "25006"
	CodeLostWrite                  = "58000" // system_error
	CodeUndefinedStatement         = "26000" // invalid_sql_statement_name
	CodeTooManyConnections         = "53300" // too_many_connections
	CodeTooLarge                   = "54000" // program_limit_exceeded
	CodeNotCaughtUp                = "55000" // object_not_in_prerequisite_state: a replica lacks a position
	CodeWrongServer                = "08004" // sqlserver_rejected_establishment_of_sqlconnection
	CodeRolledBack                 = "40000" // transaction_rollback
	CodeInternal                   = "XX000" // internal_error
)

// Error is what a caller is told about a request that did not succeed.
type Error struct {
	Kind       Kind
	Code       string        // SQLSTATE, five characters
	Message    string        // what happened
	Remedy     string        // what the caller or operator can do
	RetryAfter time.Duration // 0 when waiting does not help
}

// Error renders kind, message and remedy in one line.
func (e *Error) Error() string {
	s := e.Kind.String() + ": " + e.Message
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	if e.RetryAfter > 0 {
		s += fmt.Sprintf("; retry after %d ms", e.RetryAfter.Milliseconds())
	}
	return s
}

// New returns an error of the given kind.
func New(kind Kind, code, message, remedy string) *Error {
	return &Error{Kind: kind, Code: code, Message: message, Remedy: remedy}
}

// WithRetryAfter returns a copy of e that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// As returns the outcome error in err's chain, or nil.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// Is reports whether err carries an outcome of the given kind.
func Is(err error, kind Kind) bool {
	e := As(err)
	return e != nil && e.Kind == kind
}
