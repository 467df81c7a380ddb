package burn

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/burn"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// SQLSTATE codes of refusals that the caller caused itself. Source: PostgreSQL documentation, appendix
// "Error Codes".
const (
	codeInFailedTransaction = "25P02"
	codeIdleInTransaction   = "25P03"
)

// Outcomes of statements that package outcome defines.
var (
	notRun    = engine.Outcome(outcome.NotRun.String())
	unknown   = engine.Outcome(outcome.Unknown.String())
	lostWrite = engine.Outcome(outcome.LostWrite.String())
)

// Classify returns the class of a statement; counted is false if the statement does not count towards
// the objective. A server's SQL error is an answer. Not counted is what only the caller caused: denied
// and invalid requests, a caller that disconnected, its own cancel request, statements in a failed or
// timed-out idle transaction, and session settings, which need no server.
func Classify(s engine.Statement, latency time.Duration) (class burn.Class, counted bool) {
	switch s.Outcome {
	case engine.OutcomeOK, engine.OutcomeServerError:
		if s.Server == "" {
			return 0, false
		}
		if s.Wait+s.Run+s.Confirm > latency {
			return burn.Late, true
		}
		return burn.Good, true
	case unknown:
		return burn.Unknown, true
	case lostWrite:
		// The statement that reports the lost write was not run itself.
		return burn.NotRun, true
	case notRun:
		return classifyRefusal(s.Code)
	}
	return 0, false
}

func classifyRefusal(code string) (class burn.Class, counted bool) {
	switch code {
	case outcome.CodeTooManyRequests:
		// Only the quota refuses with this code. Its decision is taken as correct, since one
		// instance's statements don't show whether all instances together exceeded the rate.
		return burn.OverRate, true
	case outcome.CodeInsufficientResources:
		// The quota is checked first, so the statement was within the account's rate.
		return burn.RefusedInsideRate, true
	case outcome.CodeQueryCanceled, codeInFailedTransaction, codeIdleInTransaction:
		return 0, false
	}
	return burn.NotRun, true
}
