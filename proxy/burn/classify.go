package burn

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/burn"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// SQLSTATE codes of refusals that the caller brought about itself. Source: PostgreSQL
// documentation, appendix "Error Codes".
const (
	codeInFailedTransaction = "25P02"
	codeIdleInTransaction   = "25P03"
)

// Outcomes of units that package outcome names.
var (
	notRun    = engine.Outcome(outcome.NotRun.String())
	unknown   = engine.Outcome(outcome.Unknown.String())
	lostWrite = engine.Outcome(outcome.LostWrite.String())
)

// Classify tells how a statement counts, if it does. A server's SQL error is an answer. What the
// caller alone brought about counts neither way: denied and invalid requests, a caller that went
// away, its own cancel request, statements in a failed transaction, and session settings, which
// need no server.
func Classify(s engine.Statement, latency time.Duration) (class burn.Class, counts bool) {
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
		// The statement that reports the loss did not run itself.
		return burn.NotRun, true
	case notRun:
		return classifyRefusal(s.Code)
	}
	return 0, false
}

func classifyRefusal(code string) (class burn.Class, counts bool) {
	switch code {
	case outcome.CodeTooManyRequests:
		// Only the quota refuses with this code, and is taken at its word. Whether all instances
		// together were above the rate can't be told from one instance's statements.
		return burn.OverRate, true
	case outcome.CodeInsufficientResources:
		// The quota is asked first, so that the statement was inside the account's rate.
		return burn.RefusedInsideRate, true
	case outcome.CodeQueryCanceled, codeInFailedTransaction, codeIdleInTransaction:
		return 0, false
	}
	return burn.NotRun, true
}
