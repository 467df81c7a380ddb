package load

import (
	"context"
	"strconv"
	"sync/atomic"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/lineclient"
)

// lineStatements numbers the statements of this process, since the servers' receipts are checked by them.
var lineStatements atomic.Uint64

func nextStatement() string {
	return "load-" + strconv.FormatUint(lineStatements.Add(1), 10)
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

// lineError is the error word of an answer, or lineclient.Broken.
type lineError struct {
	word   string
	notRun bool // nothing of the operation is kept
}

func (e *lineError) Error() string {
	return e.word
}

// NotRun reports whether the answer proves that nothing is kept.
func (e *lineError) NotRun() bool {
	return e.notRun
}

// lineConn is a connection in the line protocol. Writes there replace a value, so that Append is a transaction.
type lineConn struct {
	session *lineclient.Session
	closed  bool
}

// ask sends a statement and returns an error unless it is answered with the word that is wanted.
func (c *lineConn) ask(text, wanted string) (lineclient.Reply, error) {
	r := c.session.Ask(nextStatement(), text)
	if r.Word == wanted {
		return r, nil
	}
	return r, &lineError{word: r.Word, notRun: lineclient.Promise(r.Word)}
}

func (c *lineConn) Append(_ context.Context, key, value string) error {
	if err := c.prepareAppend(key, value); err != nil {
		return err
	}
	r, err := c.ask("COMMIT", lineclient.Receipt)
	c.settle(r)
	return err
}

// prepareAppend does what comes before the commit. An error rolls it back, so that nothing is kept.
func (c *lineConn) prepareAppend(key, value string) error {
	r, err := c.ask("BEGIN", lineclient.Done)
	content := ""
	if err == nil {
		r, err = c.ask("READ "+key, lineclient.Receipt)
		content = r.Value
	}
	if content == absent {
		content = ""
	}
	if err == nil {
		r, err = c.ask("WRITE "+key+" "+content+value, lineclient.Receipt)
	}
	if err == nil {
		return nil
	}
	c.settle(r)
	return &lineError{word: r.Word, notRun: true}
}

// absent is the value of an item that was never written.
const absent = "-"

// settle ends a transaction that an answer leaves open, and the connection after an answer that doesn't allow to go on.
func (c *lineConn) settle(r lineclient.Reply) {
	r = c.session.EndTransaction(nextStatement(), r)
	if r.State != lineclient.Idle || r.SessionOver() {
		c.Close()
	}
}

func (c *lineConn) Read(_ context.Context, key string) (string, error) {
	r, err := c.ask("READ "+key, lineclient.Receipt)
	c.settle(r)
	if r.Value == absent {
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
