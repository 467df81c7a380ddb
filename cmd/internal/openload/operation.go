package openload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/lineclient"
)

const (
	// itemCount is the number of items in a database that operations use.
	itemCount = 2000
	// maxStatements limits the reads and writes of a transaction.
	maxStatements = 4
	// defaultRetryDelay is the minimum delay before a retry; it also applies if a refusal has no retry delay.
	defaultRetryDelay = 50 * time.Millisecond
	// retryJitter is the maximum jitter as a fraction of the delay, so that callers refused together don't retry together.
	retryJitter = 0.2
)

// outcome is the outcome of an operation.
type outcome int

const (
	served  outcome = iota
	refused         // the last reply proves that the operation had no effect
	unknown         // the operation may have taken effect
)

// result is the result of an operation.
type result struct {
	outcome  outcome
	failure  string // outcome of the last reply, or "connect"; empty if served
	attempts int
	wrote    bool // a write was acknowledged
}

// operation is one operation of a caller, including its retries.
type operation struct {
	runner         *runner
	kind           Kind
	number         uint64
	database       string
	statements     []string // of one attempt
	writes         bool
	due            time.Time
	jitter         float64 // 0 to 1
	firstAddress   int     // selects the instance of the first attempt
	statementCount int     // over all attempts
}

// newOperation returns an operation with randomly chosen statements, database and instance.
func (r *runner) newOperation(kind Kind, due time.Time, random *rand.Rand) *operation {
	r.mu.Lock()
	r.operationCount++
	number := r.operationCount
	r.mu.Unlock()
	o := &operation{
		runner: r, kind: kind, number: number, due: due, jitter: random.Float64(),
		database:     r.cfg.Databases[random.IntN(len(r.cfg.Databases))],
		firstAddress: random.IntN(len(r.cfg.Addresses)),
	}
	n := 1
	inTx := random.Float64() < kind.TxShare
	if inTx {
		n = 1 + random.IntN(maxStatements)
	}
	for i := range n {
		item := random.IntN(itemCount)
		if random.Float64() < kind.WriteShare {
			o.writes = true
			o.statements = append(o.statements, fmt.Sprintf("WRITE i%d v%d.%d", item, number, i))
			continue
		}
		o.statements = append(o.statements, fmt.Sprintf("READ i%d", item))
	}
	if inTx {
		begin := "BEGIN"
		if !o.writes {
			begin = "BEGIN READ"
		}
		o.statements = append(append([]string{begin}, o.statements...), "COMMIT")
	}
	return o
}

// run retries the operation until it is served, its outcome is unknown, or the retries or the timeout are used up.
func (o *operation) run() result {
	end := o.due.Add(o.kind.Timeout)
	for n := 1; ; n++ {
		r, delay := o.attempt(n)
		r.attempts = n
		if r.outcome != refused || n > o.kind.Retries {
			return r
		}
		delay += time.Duration(retryJitter * o.jitter * float64(delay))
		if time.Now().Add(delay).After(end) {
			return r
		}
		time.Sleep(delay)
	}
}

// attempt runs the operation once. For a refusal it also returns the delay before a retry.
func (o *operation) attempt(n int) (result, time.Duration) {
	s, err := o.session(n)
	if err != nil {
		return result{outcome: refused, failure: "connect"}, defaultRetryDelay
	}
	for i, text := range o.statements {
		reply := s.Query(o.nextStatementID(), text)
		if reply.Outcome == lineclient.Receipt || reply.Outcome == lineclient.Done {
			continue
		}
		o.endAfterFailure(s, reply)
		return o.classifyFailure(reply, i == len(o.statements)-1)
	}
	o.runner.releaseSession(o.poolKey(), s, o.kind.SessionPerOperation)
	return result{outcome: served, wrote: o.writes}, 0
}

func (o *operation) nextStatementID() string {
	o.statementCount++
	return fmt.Sprintf("o%d.%d", o.number, o.statementCount)
}

// classifyFailure returns the result of a failed attempt. The outcome is unknown only if the last statement, the commit
// or the only write, failed: before that nothing can have taken effect.
func (o *operation) classifyFailure(reply lineclient.Reply, last bool) (result, time.Duration) {
	r := result{outcome: refused, failure: reply.Outcome}
	if last && o.writes && !lineclient.NoEffect(reply.Outcome) {
		r.outcome = unknown
	}
	return r, max(reply.RetryAfter, defaultRetryDelay)
}

// endAfterFailure rolls back a transaction that is still open after a failure. It closes the session unless it is idle
// afterwards.
func (o *operation) endAfterFailure(s *lineclient.Session, reply lineclient.Reply) {
	reply = s.EndTransaction(o.nextStatementID(), reply)
	if reply.State != lineclient.Idle {
		s.Close()
		return
	}
	o.runner.releaseSession(o.poolKey(), s, o.kind.SessionPerOperation)
}

// poolKey identifies the idle sessions that an operation can use.
type poolKey struct {
	kind, database string
}

func (o *operation) poolKey() poolKey {
	return poolKey{o.kind.Name, o.database}
}

// session returns an idle session, or opens one at an instance that changes with each attempt.
func (o *operation) session(attempt int) (*lineclient.Session, error) {
	for s := o.runner.takeIdle(o.poolKey()); s != nil; s = o.runner.takeIdle(o.poolKey()) {
		if s.Alive() {
			return s, nil
		}
		s.Close()
	}
	addresses := o.runner.cfg.Addresses
	address := addresses[(o.firstAddress+attempt)%len(addresses)]
	return lineclient.Dial(address, o.database+o.kind.Route, o.runner.cfg.Key)
}

func (r *runner) takeIdle(key poolKey) *lineclient.Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.idle[key]
	if len(list) == 0 {
		return nil
	}
	s := list[len(list)-1]
	r.idle[key] = list[:len(list)-1]
	return s
}

// releaseSession makes a session available to later operations of the kind. It closes the session if
// sessionPerOperation is set or maxIdleSessions are idle already.
func (r *runner) releaseSession(key poolKey, s *lineclient.Session, sessionPerOperation bool) {
	r.mu.Lock()
	keep := !sessionPerOperation && len(r.idle[key]) < maxIdleSessions
	if keep {
		r.idle[key] = append(r.idle[key], s)
	}
	r.mu.Unlock()
	if !keep {
		s.Close()
	}
}

func (r *runner) closeIdle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, list := range r.idle {
		for _, s := range list {
			s.Close()
		}
	}
	clear(r.idle)
}
