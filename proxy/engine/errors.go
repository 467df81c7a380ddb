package engine

import (
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
)

// SQLSTATE codes used here in addition to those of package outcome. Source: PostgreSQL documentation,
// appendix "Error Codes".
const (
	codeInFailedTransaction       = "25P02"
	codeNoActiveTransaction       = "25P01"
	codeIdleInTransaction         = "25P03"
	codeInvalidStatementName      = "26000"
	codeInvalidCursorName         = "34000"
	codeDuplicatePrepared         = "42P05"
	codeInvalidParameter          = "22023"
	codeCantChangeParameter       = "55P02"
	codeSerializationFailure      = "40001"
	codeProgramLimitExceeded      = "54000"
	codeTooManyConnections        = "53300"
	codeUndefinedParameter        = "42704"
	codeFeatureNotSupported       = outcome.CodeFeatureNotSupported
	severityError                 = "ERROR"
	severityFatal                 = "FATAL"
	retryAfterDetail              = "retry_after_ms="
	statusIdle               byte = 'I'
	statusTransaction        byte = 'T'
	statusFailed             byte = 'E'
)

// tooManySessionsRetryAfter is the retry-after of a refused connection.
const tooManySessionsRetryAfter = time.Second

// errorResponse converts e to PostgreSQL's ErrorResponse, with the remedy as the hint and the kind and the
// retry-after as the detail.
func errorResponse(severity string, e *outcome.Error) *pgproto3.ErrorResponse {
	detail := e.Kind.String()
	if e.RetryAfter > 0 {
		detail += " " + retryAfterDetail + strconv.FormatInt(e.RetryAfter.Milliseconds(), 10)
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.Code,
		Message:             e.Message,
		Detail:              detail,
		Hint:                e.Remedy,
	}
}

// asOutcome returns err as an outcome error. Any other error means that a dependency of the engine failed
// before the statement was sent.
func asOutcome(err error) *outcome.Error {
	if e := outcome.As(err); e != nil {
		return e
	}
	return outcome.New(outcome.NotRun, outcome.CodeCannotConnectNow, err.Error(), "try again")
}

func invalid(code, message, remedy string) *outcome.Error {
	return outcome.New(outcome.Invalid, code, message, remedy)
}

func errUnknown(message string) *outcome.Error {
	return outcome.New(outcome.Unknown, outcome.CodeStatementCompletionUnknown, message,
		"check whether the statement took effect before repeating it")
}

func errFailedTransaction() *outcome.Error {
	return outcome.New(outcome.NotRun, codeInFailedTransaction,
		"current transaction is aborted, commands ignored until end of transaction block",
		"end the transaction with ROLLBACK and repeat it")
}

func errTransactionLost(cause error) *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeConnectionFailure,
		"the transaction's connection was lost and its work was rolled back: "+cause.Error(),
		"end the transaction with ROLLBACK and repeat it")
}

func errShutdown() *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeAdminShutdown,
		"this instance is shutting down", "connect again")
}

func errWithdrawn() *outcome.Error {
	return outcome.New(outcome.Denied, outcome.CodeInvalidAuthorization,
		"the key of this session was withdrawn", "connect again with a valid key")
}

func errCanceled() *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeQueryCanceled,
		"the statement was canceled at the caller's request before it ran", "none needed")
}

func errPipelineTooLarge(limit int) *outcome.Error {
	return invalid(codeProgramLimitExceeded,
		"the messages up to Sync exceed "+strconv.Itoa(limit)+" bytes",
		"send Sync more often")
}

func errMessageTooLarge(limit int) *outcome.Error {
	return invalid(codeProgramLimitExceeded,
		"the message exceeds "+strconv.Itoa(limit)+" bytes",
		"split the statement or its parameters into smaller ones")
}

func errTooManySessions() *outcome.Error {
	return outcome.New(outcome.NotRun, codeTooManyConnections,
		"this instance has no session left", "connect again later or to another instance").
		WithRetryAfter(tooManySessionsRetryAfter)
}

func errTooManyStartups() *outcome.Error {
	return outcome.New(outcome.NotRun, codeTooManyConnections,
		"too many callers connect to this instance at the same time", "connect again later or to another instance").
		WithRetryAfter(tooManySessionsRetryAfter)
}
