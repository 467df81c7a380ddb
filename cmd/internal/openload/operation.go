package openload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/lineclient"
)

const (
	// itemCount is the number of items of a database that operations choose from.
	itemCount = 2000
	// maxStatements bounds the reads and writes of a transaction.
	maxStatements = 4
	// defaultRetryDelay is the wait before an operation is repeated when the refusal names no time.
	defaultRetryDelay = 50 * time.Millisecond
	// retryJitter spreads callers that were refused together over this part of the time that they were told.
	retryJitter = 0.2
)

// Outcomes of an operation.
type outcome int

const (
	served  outcome = iota
	refused         // the last answer says that nothing is kept
	unknown         // it may have taken effect
)

// result is what became of an operation.
type result struct {
	outcome  outcome
	failure  string // of a failure
	attempts int
	wrote    bool // an acknowledged write
}

// operation is one operation of a caller, with all its attempts.
type operation struct {
	runner         *runner
	kind           Kind
	number         uint64
	database       string
	statements     []string // of one attempt
	writes         bool
	due            time.Time
	jitter         float64 // 0 to 1
	firstAddress   int     // of the instance for the first attempt
	statementCount int     // counts statements over all attempts
}

// newOperation draws what an operation does.
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

// run tries the operation until it is served, it may have taken effect, or the caller gives up.
func (o *operation) run() result {
	end := o.due.Add(o.kind.Timeout)
	for n := 1; ; n++ {
		a, after := o.attempt(n)
		a.attempts = n
		if a.outcome != refused || n > o.kind.Retries {
			return a
		}
		after += time.Duration(retryJitter * o.jitter * float64(after))
		if time.Now().Add(after).After(end) {
			return a
		}
		time.Sleep(after)
	}
}

// attempt does the operation once. A refusal comes with the time after which the caller returns.
func (o *operation) attempt(n int) (result, time.Duration) {
	s, err := o.session(n)
	if err != nil {
		return result{outcome: refused, failure: "connect"}, defaultRetryDelay
	}
	for i, text := range o.statements {
		reply := s.Ask(o.nextStatementID(), text)
		if reply.Word == lineclient.Receipt || reply.Word == lineclient.Done {
			continue
		}
		o.endAfterFailure(s, reply)
		return o.classifyFailure(reply, i == len(o.statements)-1)
	}
	o.runner.releaseSession(o.poolKey(), s, o.kind.SessionPerOperation)
	return result{outcome: served, wrote: o.writes}, 0
}

// nextStatementID returns the id of the next statement.
func (o *operation) nextStatementID() string {
	o.statementCount++
	return fmt.Sprintf("o%d.%d", o.number, o.statementCount)
}

// classifyFailure tells what a failure means: without the commit, or its only write, being sent, nothing can be kept.
func (o *operation) classifyFailure(reply lineclient.Reply, last bool) (result, time.Duration) {
	a := result{outcome: refused, failure: reply.Word}
	if last && o.writes && !lineclient.Promise(reply.Word) {
		a.outcome = unknown
	}
	return a, max(reply.RetryAfter, defaultRetryDelay)
}

// endAfterFailure ends what a failure left open. A session that isn't idle afterwards is closed.
func (o *operation) endAfterFailure(s *lineclient.Session, reply lineclient.Reply) {
	reply = s.EndTransaction(o.nextStatementID(), reply)
	if reply.State != lineclient.Idle {
		s.Close()
		return
	}
	o.runner.releaseSession(o.poolKey(), s, o.kind.SessionPerOperation)
}

// poolKey names the sessions that an operation can use.
type poolKey struct {
	kind, database string
}

func (o *operation) poolKey() poolKey {
	return poolKey{o.kind.Name, o.database}
}

// session takes an idle session, or opens one through another instance at each attempt.
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

// releaseSession keeps an idle session for the next operation, unless each has its own.
func (r *runner) releaseSession(key poolKey, s *lineclient.Session, single bool) {
	r.mu.Lock()
	keep := !single && len(r.idle[key]) < maxIdleSessions
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
