package openload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/lineclient"
)

const (
	// items is the number of items of a database that operations choose from.
	items = 2000
	// maxStatements bounds the reads and writes of a transaction.
	maxStatements = 4
	// defaultReturn is the wait before an operation is repeated when the refusal names no time.
	defaultReturn = 50 * time.Millisecond
	// returnJitter spreads callers that were refused together over this part of the time that they were told.
	returnJitter = 0.2
)

// Outcomes of an operation.
type outcome int

const (
	served  outcome = iota
	refused         // the last answer says that nothing is kept
	unknown         // it may have taken effect
)

// answer is what became of an operation.
type answer struct {
	outcome  outcome
	word     string // of a failure
	attempts int
	wrote    bool // an acknowledged write
}

// operation is one operation of a caller, with all its attempts.
type operation struct {
	runner    *runner
	kind      Kind
	number    uint64
	database  string
	texts     []string // of one attempt
	writes    bool
	due       time.Time
	jitter    float64 // 0 to 1
	address   int     // of the instance for the first attempt
	statement int     // counts statements over all attempts
}

// operation draws what an operation does.
func (r *runner) operation(kind Kind, due time.Time, random *rand.Rand) *operation {
	r.mu.Lock()
	r.counter++
	number := r.counter
	r.mu.Unlock()
	o := &operation{
		runner: r, kind: kind, number: number, due: due, jitter: random.Float64(),
		database: r.cfg.Databases[random.IntN(len(r.cfg.Databases))],
		address:  random.IntN(len(r.cfg.Addresses)),
	}
	n := 1
	inTx := random.Float64() < kind.TxShare
	if inTx {
		n = 1 + random.IntN(maxStatements)
	}
	for i := range n {
		item := random.IntN(items)
		if random.Float64() < kind.WriteShare {
			o.writes = true
			o.texts = append(o.texts, fmt.Sprintf("WRITE i%d v%d.%d", item, number, i))
			continue
		}
		o.texts = append(o.texts, fmt.Sprintf("READ i%d", item))
	}
	if inTx {
		begin := "BEGIN"
		if !o.writes {
			begin = "BEGIN READ"
		}
		o.texts = append(append([]string{begin}, o.texts...), "COMMIT")
	}
	return o
}

// run tries the operation until it is served, it may have taken effect, or the caller gives up.
func (o *operation) run() answer {
	end := o.due.Add(o.kind.Budget)
	for n := 1; ; n++ {
		a, after := o.attempt(n)
		a.attempts = n
		if a.outcome != refused || n > o.kind.Retries {
			return a
		}
		after += time.Duration(returnJitter * o.jitter * float64(after))
		if time.Now().Add(after).After(end) {
			return a
		}
		time.Sleep(after)
	}
}

// attempt does the operation once. A refusal comes with the time after which the caller returns.
func (o *operation) attempt(n int) (answer, time.Duration) {
	s, err := o.session(n)
	if err != nil {
		return answer{outcome: refused, word: "connect"}, defaultReturn
	}
	for i, text := range o.texts {
		reply := s.Ask(o.nextStatement(), text)
		if reply.Word == lineclient.Receipt || reply.Word == lineclient.Done {
			continue
		}
		o.leave(s, reply)
		return o.failed(reply, i == len(o.texts)-1)
	}
	o.runner.giveBack(o.poolKey(), s, o.kind.Single)
	return answer{outcome: served, wrote: o.writes}, 0
}

// nextStatement returns the id of the next statement.
func (o *operation) nextStatement() string {
	o.statement++
	return fmt.Sprintf("o%d.%d", o.number, o.statement)
}

// failed tells what a failure means: without the commit, or its only write, being sent, nothing can be kept.
func (o *operation) failed(reply lineclient.Reply, last bool) (answer, time.Duration) {
	a := answer{outcome: refused, word: reply.Word}
	if last && o.writes && !lineclient.Promise(reply.Word) {
		a.outcome = unknown
	}
	return a, max(reply.RetryAfter, defaultReturn)
}

// leave ends what a failure left open. A session that isn't idle afterwards is closed.
func (o *operation) leave(s *lineclient.Session, reply lineclient.Reply) {
	reply = s.EndTransaction(o.nextStatement(), reply)
	if reply.State != lineclient.Idle {
		s.Close()
		return
	}
	o.runner.giveBack(o.poolKey(), s, o.kind.Single)
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
	for s := o.runner.take(o.poolKey()); s != nil; s = o.runner.take(o.poolKey()) {
		if s.Alive() {
			return s, nil
		}
		s.Close()
	}
	addresses := o.runner.cfg.Addresses
	address := addresses[(o.address+attempt)%len(addresses)]
	return lineclient.Dial(address, o.database+o.kind.Route, o.runner.cfg.Key)
}

func (r *runner) take(key poolKey) *lineclient.Session {
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

// giveBack keeps an idle session for the next operation, unless each has its own.
func (r *runner) giveBack(key poolKey, s *lineclient.Session, single bool) {
	r.mu.Lock()
	keep := !single && len(r.idle[key]) < sessionsPerKind
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
