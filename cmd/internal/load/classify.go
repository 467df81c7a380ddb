package load

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cyclamenstile/cyclamenstile/decision/history"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
)

// notRunCodes are the SQLSTATE codes with which a statement outside a transaction is refused before
// it has any effect. A code that ends a connection, such as 57P01, does not by itself prove that.
var notRunCodes = map[string]bool{
	outcome.CodeCannotConnectNow:      true,
	outcome.CodeTooManyRequests:       true,
	outcome.CodeInsufficientResources: true,
	outcome.CodeFeatureNotSupported:   true,
	outcome.CodeUndefinedDatabase:     true,
	outcome.CodeProtocolViolation:     true,
	outcome.CodeReadOnly:              true,
	outcome.CodeLostWrite:             true,
	"53300":                           true, // too_many_connections
	"55P03":                           true, // lock_not_available
}

// notRunClasses are the SQLSTATE classes of errors after which the server has rolled the statement back.
var notRunClasses = []string{"22", "23", "28", "42"}

// Classify returns the kind of event that records the result of a write: acknowledged for a nil
// error, not run if the error proves it, otherwise unknown.
func Classify(err error) history.EventKind {
	if err == nil {
		return history.WriteAcknowledged
	}
	var reporter interface{ NotRun() bool }
	if errors.As(err, &reporter) && reporter.NotRun() {
		return history.WriteNotRun
	}
	var refusal *pgconn.PgError
	if !errors.As(err, &refusal) {
		if pgconn.SafeToRetry(err) {
			return history.WriteNotRun
		}
		return history.WriteUnknown
	}
	if notRunCodes[refusal.Code] || reportsNotRun(refusal) {
		return history.WriteNotRun
	}
	for _, class := range notRunClasses {
		if strings.HasPrefix(refusal.Code, class) {
			return history.WriteNotRun
		}
	}
	return history.WriteUnknown
}

// reportsNotRun reports whether the proxy states that the statement did not run, as the first word of
// the error detail. The history check verifies that claim.
func reportsNotRun(refusal *pgconn.PgError) bool {
	kind, _, _ := strings.Cut(refusal.Detail, " ")
	return kind == outcome.NotRun.String()
}

// reportsLostWrite reports whether err informs the session that an acknowledged write is lost.
func reportsLostWrite(err error) bool {
	var refusal *pgconn.PgError
	return errors.As(err, &refusal) && refusal.Code == outcome.CodeLostWrite
}

// failureReason returns a readable reason why a statement failed.
func failureReason(err error) string {
	var refusal *pgconn.PgError
	if errors.As(err, &refusal) {
		return refusal.Code + " " + refusal.Message
	}
	var lineErr *lineError
	if errors.As(err, &lineErr) {
		return lineErr.code
	}
	return "connection"
}
