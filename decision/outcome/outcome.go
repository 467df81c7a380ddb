// Package outcome defines the typed errors that are returned to callers. Each error states whether
// the request ran, how to fix the problem and, where waiting helps, when to retry.
package outcome

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind classifies what is known about a failed request.
type Kind int

const (
	// NotRun means that the request is proven not to have run: it was never sent, or the server's
	// refusal proves it. Retrying is safe.
	NotRun Kind = iota + 1
	// Unknown means that the request may have run. Retrying is safe only if it is idempotent.
	Unknown
	// Denied means that the caller is not allowed to run the request; it did not run.
	Denied
	// Invalid means that the request is malformed or not supported; it did not run.
	Invalid
	// LostWrite means that a write acknowledged to this session is not part of the current
	// primary's history. The request that reports it did not run.
	LostWrite
)

// String returns the name of the kind in logs and metrics.
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

// SQLSTATE codes sent to callers. Source: PostgreSQL documentation, appendix "Error Codes".
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
	CodeNotCaughtUp                = "55000" // object_not_in_prerequisite_state: the replica has not applied the required position
	CodeWrongServer                = "08004" // sqlserver_rejected_establishment_of_sqlconnection
	CodeRolledBack                 = "40000" // transaction_rollback
	CodeInternal                   = "XX000" // internal_error
)

// Error is the error returned to a caller whose request did not succeed.
type Error struct {
	Kind       Kind
	Code       string        // SQLSTATE, five characters
	Message    string        // what happened
	Remedy     string        // what the caller or operator can do
	RetryAfter time.Duration // 0 when waiting does not help
}

// Error returns kind, message, remedy and retry delay in one line.
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

// New returns an error without a retry delay.
func New(kind Kind, code, message, remedy string) *Error {
	return &Error{Kind: kind, Code: code, Message: message, Remedy: remedy}
}

// WithRetryAfter returns a copy of e that asks the caller to retry after d.
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

// Is reports whether the chain of err contains an outcome error of the given kind.
func Is(err error, kind Kind) bool {
	e := As(err)
	return e != nil && e.Kind == kind
}
