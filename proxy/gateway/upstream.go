package gateway

import (
	"hash/fnv"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
)

const (
	// maxAnswerBytes bounds the buffered size of an answer, in bytes. Answers are buffered until they are complete,
	// so that a read can be tried on another server.
	maxAnswerBytes = 8 << 20
	// maxPreparedPerConn bounds the prepared statements on one server connection.
	maxPreparedPerConn = 64
)

// upstreamConn is a connection to a server, used by one goroutine at a time.
type upstreamConn struct {
	conn         net.Conn
	codec        ServerCodec
	pool         *serverPool
	account      string
	values       map[string]string // session values set on the server
	prepared     map[string]bool   // names of the statements prepared on the server
	stateUnknown bool              // values and prepared don't reliably match the server
	// changedInTransaction is set if values or prepared statements were sent inside the open transaction; a
	// rollback may undo them.
	changedInTransaction bool
	state                sessionstate.TxState
	position             position.Position // of the last answer
	idleSince            time.Duration     // when it was returned to the pool
}

// answer is a server's answer to one request.
type answer struct {
	rows     [][]byte
	receipt  string
	code     string // of the server's error; empty after success
	text     string
	complete bool
}

// errAnswerTooLarge ends a statement whose answer exceeds maxAnswerBytes.
var errAnswerTooLarge = errors.New("the answer exceeds 8 MiB; ask for less")

// receive reads the answer to one request.
func (u *upstreamConn) receive() (answer, error) {
	var a answer
	size := 0
	for {
		r, err := u.codec.Receive()
		if err != nil {
			return a, err
		}
		switch r.Kind {
		case sessionstate.ReplyRow:
			if size += len(r.Row); size > maxAnswerBytes {
				return a, errAnswerTooLarge
			}
			a.rows = append(a.rows, append([]byte(nil), r.Row...))
		case sessionstate.ReplyComplete:
			a.complete = true
			a.receipt = r.Receipt
		case sessionstate.ReplyError:
			a.code, a.text = r.Code, r.Text
		case sessionstate.ReplyReady:
			u.state = r.State
			u.position = r.Position
			return a, a.validate()
		}
	}
}

// validate rejects an answer that has neither a result nor an error.
func (a *answer) validate() error {
	if a.complete || a.code != "" {
		return nil
	}
	return errors.New("the server ended an answer without a result")
}

// start starts a session on the server and waits for the answer.
func (u *upstreamConn) start() (answer, error) {
	u.codec.Start(u.pool.database, u.account, u.pool.id)
	if err := u.codec.Flush(); err != nil {
		return answer{}, err
	}
	r, err := u.codec.Receive()
	if err != nil {
		return answer{}, err
	}
	switch r.Kind {
	case sessionstate.ReplyError:
		return answer{code: r.Code, text: r.Text}, nil
	case sessionstate.ReplyReady:
		u.position = r.Position
		return answer{complete: true}, nil
	}
	return answer{}, errors.New("the server answered the start of a session with neither readiness nor an error")
}

// queueSetup queues the requests that set the session's values and prepare p on the connection. It returns the
// number of requests queued.
func (u *upstreamConn) queueSetup(values map[string]string, p *sessionstate.PreparedStatement) int {
	queued := 0
	if u.needsDiscard(values) {
		u.codec.Discard()
		u.values, u.prepared, u.stateUnknown = nil, nil, false
		queued++
	}
	for name, value := range values {
		if held, ok := u.values[name]; !ok || held != value {
			u.codec.Set(name, value)
			queued++
		}
	}
	u.values = values
	if p != nil && !u.prepared[preparedName(*p)] {
		u.codec.Prepare(preparedName(*p), *p)
		if u.prepared == nil {
			u.prepared = map[string]bool{}
		}
		u.prepared[preparedName(*p)] = true
		queued++
	}
	return queued
}

func (u *upstreamConn) needsDiscard(values map[string]string) bool {
	if u.stateUnknown || len(u.prepared) >= maxPreparedPerConn {
		return true
	}
	for name := range u.values {
		if _, wanted := values[name]; !wanted {
			return true
		}
	}
	return false
}

// readAnswers reads the answers to n setup requests and returns the first error among them.
func (u *upstreamConn) readAnswers(n int) (answer, error) {
	var failed answer
	for range n {
		a, err := u.receive()
		if err != nil {
			return a, err
		}
		if a.code != "" && failed.code == "" {
			failed = a
		}
	}
	return failed, nil
}

// matches reports whether the connection needs no setup for these values.
func (u *upstreamConn) matches(values map[string]string) bool {
	if u.stateUnknown || len(u.values) != len(values) {
		return false
	}
	for name, value := range values {
		if held, ok := u.values[name]; !ok || held != value {
			return false
		}
	}
	return true
}

// preparedName derives the name of a prepared statement from its content, so that sessions can share it.
func preparedName(p sessionstate.PreparedStatement) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.Shape))
	prefix := "r"
	if p.Writes {
		prefix = "w"
	}
	return prefix + strconv.FormatUint(h.Sum64(), 36)
}

// provesNotRun reports whether a server's error code proves that the statement had no effect.
func provesNotRun(code string) bool {
	switch code {
	case outcome.CodeInsufficientResources, outcome.CodeNotCaughtUp, outcome.CodeReadOnly, outcome.CodeWrongServer,
		outcome.CodeTooManyConnections, outcome.CodeUndefinedStatement, outcome.CodeProtocolViolation:
		return true
	}
	return false
}

// close closes the connection; the server rolls back an open transaction.
func (u *upstreamConn) close() {
	_ = u.conn.Close()
}

// setDeadline sets the deadline of reads and writes to d from now.
func (u *upstreamConn) setDeadline(d time.Duration) {
	_ = u.conn.SetDeadline(time.Now().Add(d))
}
