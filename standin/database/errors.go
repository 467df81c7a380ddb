package database

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes of the stand-in. Source: PostgreSQL documentation, appendix "Error Codes".
const (
	codeProtocolViolation   = "08P01"
	codeFeatureNotSupported = "0A000"
	codeInvalidParameter    = "22023"
	codeUniqueViolation     = "23505"
	codeReadOnly            = "25006"
	codeFailedTransaction   = "25P02"
	codeUnknownStatement    = "26000"
	codeInvalidPassword     = "28P01"
	codeUnknownPortal       = "34000"
	codeInsufficientRights  = "42501"
	codeSyntax              = "42601"
	codeTooManyConnections  = "53300"
	codeWrongState          = "55000"
	codeLockNotAvailable    = "55P03"
	codeQueryCanceled       = "57014"
	codeSystem              = "58000"
)

// sqlError is an error that the client receives as an ErrorResponse.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.code + ": " + e.message }

func newSQLError(code, message string) error { return &sqlError{code, message} }

var (
	errReadOnly           = newSQLError(codeReadOnly, "cannot execute a write in a read-only transaction or on a server that is not the primary")
	errCanceled           = newSQLError(codeQueryCanceled, "canceling statement due to user request")
	errTransactionAborted = newSQLError(codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	errLockTimeout        = newSQLError(codeLockNotAvailable, "canceling statement due to lock timeout")
	errStopped            = errors.New("the server is stopped")
	// errDisconnect ends a session without a response.
	errDisconnect = errors.New("the session is dropped")
)

func errorResponse(err error, severity string) *pgproto3.ErrorResponse {
	e := &sqlError{code: codeSystem, message: err.Error()}
	errors.As(err, &e)
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.code,
		Message:             e.message,
	}
}
