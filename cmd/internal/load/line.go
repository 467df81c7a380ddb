package load

import (
	"context"
	"strconv"
	"sync/atomic"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/lineclient"
)

// statementCounter numbers the statements of this process. The IDs are unique so that receipts of the servers can be
// matched to them.
var statementCounter atomic.Uint64

func nextStatementID() string {
	return "load-" + strconv.FormatUint(statementCounter.Add(1), 10)
}

// OpenLine returns a function that opens connections to a route in the users' line protocol.
func OpenLine(route string) OpenFunc {
	return func(_ context.Context, address string, account Account, _ string) (Conn, error) {
		s, err := lineclient.Dial(address, route, account.Key)
		if err != nil {
			return nil, err
		}
		return &lineConn{session: s}, nil
	}
}

// lineError is the error code of a reply, or lineclient.Broken.
type lineError struct {
	code   string
	notRun bool // the operation has no effect
}

func (e *lineError) Error() string {
	return e.code
}

// NotRun reports whether the reply proves that the operation has no effect.
func (e *lineError) NotRun() bool {
	return e.notRun
}

// lineConn is a connection in the line protocol. Append uses a transaction, since a write in that protocol replaces the
// value.
type lineConn struct {
	session *lineclient.Session
	closed  bool
}

// execute sends a statement and returns an error unless the reply has the outcome wantOutcome.
func (c *lineConn) execute(text, wantOutcome string) (lineclient.Reply, error) {
	r := c.session.Query(nextStatementID(), text)
	if r.Outcome == wantOutcome {
		return r, nil
	}
	return r, &lineError{code: r.Outcome, notRun: lineclient.NoEffect(r.Outcome)}
}

func (c *lineConn) Append(_ context.Context, key, value string) error {
	if err := c.prepareAppend(key, value); err != nil {
		return err
	}
	r, err := c.execute("COMMIT", lineclient.Receipt)
	c.endTransaction(r)
	return err
}

// prepareAppend runs the transaction up to the commit. On an error it is rolled back, so the operation has no effect.
func (c *lineConn) prepareAppend(key, value string) error {
	r, err := c.execute("BEGIN", lineclient.Done)
	content := ""
	if err == nil {
		r, err = c.execute("READ "+key, lineclient.Receipt)
		content = r.Value
	}
	if content == absentValue {
		content = ""
	}
	if err == nil {
		r, err = c.execute("WRITE "+key+" "+content+value, lineclient.Receipt)
	}
	if err == nil {
		return nil
	}
	c.endTransaction(r)
	return &lineError{code: r.Outcome, notRun: true}
}

// absentValue is the value of an item that was never written.
const absentValue = "-"

// endTransaction rolls back a transaction that is still open after a reply. It closes the connection if the session is
// over or not idle afterwards.
func (c *lineConn) endTransaction(r lineclient.Reply) {
	r = c.session.EndTransaction(nextStatementID(), r)
	if r.State != lineclient.Idle || r.SessionEnded() {
		c.Close()
	}
}

func (c *lineConn) Read(_ context.Context, key string) (string, error) {
	r, err := c.execute("READ "+key, lineclient.Receipt)
	c.endTransaction(r)
	if r.Value == absentValue {
		r.Value = ""
	}
	return r.Value, err
}

func (c *lineConn) Token() string {
	return ""
}

func (c *lineConn) Closed() bool {
	return c.closed
}

func (c *lineConn) Close() {
	c.closed = true
	c.session.Close()
}
