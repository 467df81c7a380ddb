package group

import (
	"fmt"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// retryAfterFailover is the retry-after sent to callers during a failover. A failover should take at most 3 s.
const retryAfterFailover = time.Second

func errUnconfirmed(superseded bool) *outcome.Error {
	message := "the write was sent but not confirmed in time"
	if superseded {
		message = "the write was sent to a primary that was superseded before the write was confirmed"
	}
	return outcome.New(outcome.Unknown, outcome.CodeStatementCompletionUnknown, message,
		"check whether the write took effect before repeating it").WithRetryAfter(retryAfterFailover)
}

// errNoPrimary returns the refusal for a caller; wait is the minimum time until a promotion may begin.
func errNoPrimary(wait time.Duration) *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeCannotConnectNow,
		"the database has no usable primary",
		"repeat the statement after the delay").WithRetryAfter(wait + retryAfterFailover)
}

func errNoServer() *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeCannotConnectNow,
		"no server of the database could be shown to include the session's writes",
		"repeat the read after the delay").WithRetryAfter(retryAfterFailover)
}

func errNoMajority() *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeCannotConnectNow,
		"a majority of the database's servers does not answer",
		"repeat the statement after the delay, or see whether the servers run and can be reached").WithRetryAfter(retryAfterFailover)
}

func errLostWrite(floor position.Position, term uint64) *outcome.Error {
	return outcome.New(outcome.LostWrite, outcome.CodeLostWrite,
		fmt.Sprintf("the session's write at %s is not part of the database since term %d", floor, term),
		"check and repeat the session's recent writes; use a route with acknowledge majority to exclude this")
}
