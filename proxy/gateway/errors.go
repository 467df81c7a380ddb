package gateway

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
)

// retrySoon and retryLater are the retry delays sent to callers whose request has not run: about the time in
// which a connection becomes free, and in which a failover makes progress.
const (
	retrySoon  = 50 * time.Millisecond
	retryLater = 500 * time.Millisecond
)

var (
	errNoConfiguration = outcome.New(outcome.NotRun, outcome.CodeInsufficientResources,
		"this instance has no configuration yet", "repeat the request through another instance").WithRetryAfter(retryLater)
	errNotFresh = outcome.New(outcome.NotRun, outcome.CodeInsufficientResources,
		"this instance can't know whether the key is still valid", "repeat the request through another instance").WithRetryAfter(retryLater)
	errNoRoute = outcome.New(outcome.Denied, outcome.CodeUndefinedDatabase,
		"no route has this name", "check the name of the database")
	errWrongKey = outcome.New(outcome.Denied, outcome.CodeInvalidPassword,
		"the key is not known", "ask the operator for a valid key")
	errNoServer = outcome.New(outcome.NotRun, outcome.CodeInsufficientResources,
		"no server can run the request now", "repeat the request").WithRetryAfter(retryLater)
	errCutOff = outcome.New(outcome.NotRun, outcome.CodeInsufficientResources,
		"this instance can't know whether the primary is being replaced", "repeat the request through another instance").WithRetryAfter(retrySoon)
	errQueueFull = outcome.New(outcome.NotRun, outcome.CodeInsufficientResources,
		"no connection to a server became free in time", "repeat the request").WithRetryAfter(retrySoon)
	errBusy = outcome.New(outcome.NotRun, outcome.CodeInsufficientResources,
		"the server is too busy to run the request in time", "repeat it after the given time")
	errColdRefused = outcome.New(outcome.NotRun, outcome.CodeInsufficientResources,
		"the server has just started and gets few requests until it is warm", "repeat the request after the given time")
	errStopping = outcome.New(outcome.NotRun, outcome.CodeInsufficientResources,
		"this instance is stopping", "repeat the request through another instance").WithRetryAfter(retrySoon)
	errOutcomeUnknown = outcome.New(outcome.Unknown, outcome.CodeStatementCompletionUnknown,
		"the server did not say what became of the request", "read the data before writing it again")
	errTimedOut = outcome.New(outcome.Unknown, outcome.CodeQueryCanceled,
		"the servers did not answer in time", "repeat the read")
	errTransactionLost = outcome.New(outcome.NotRun, outcome.CodeRolledBack,
		"the transaction was rolled back because its server did not answer", "repeat the whole transaction")
	errLeaderReplaced = outcome.New(outcome.NotRun, outcome.CodeRolledBack,
		"the transaction was rolled back because its server is being replaced as the primary", "repeat the whole transaction")
	errIdleTransaction = outcome.New(outcome.NotRun, outcome.CodeRolledBack,
		"the transaction was idle for too long and was rolled back", "repeat the whole transaction without long pauses")
	errEvacuated = outcome.New(outcome.NotRun, outcome.CodeInsufficientResources,
		"the servers that could run the request are evacuated", "repeat the request once a server elsewhere can be the primary").WithRetryAfter(retryLater)
	errEvacuatedTransaction = outcome.New(outcome.NotRun, outcome.CodeRolledBack,
		"the transaction was rolled back because the failure domain of its server is evacuated", "repeat the whole transaction")
	errFailedTransaction = outcome.New(outcome.NotRun, outcome.CodeRolledBack,
		"the transaction had failed and was rolled back", "repeat the whole transaction")
)

// serverError converts a server's error to a statement into the error for the caller.
func serverError(a answer) *outcome.Error {
	kind := outcome.Unknown
	if provesNotRun(a.code) {
		kind = outcome.NotRun
	}
	return outcome.New(kind, a.code, a.text, "")
}
