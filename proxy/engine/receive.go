package engine

import (
	"io"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/statement"
)

// handleMessage takes one message of the caller. An error ends the session.
func (n *session) handleMessage(m pgproto3.FrontendMessage) error {
	if n.unit == nil {
		n.refresh() // once a unit, so that all of it runs by the same settings
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		return n.handleQuery(m)
	case *pgproto3.Sync:
		return n.handleSync()
	case *pgproto3.Terminate:
		return io.EOF
	case *pgproto3.Flush:
		return n.handleFlush()
	case *pgproto3.FunctionCall:
		return n.refuseFunctionCall()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // as PostgreSQL, which ignores them outside COPY
	}
	return n.handleExtended(m)
}

// refresh takes over the settings of the manifest in force. The session scope is the one under which the
// session's state began. A session that acknowledges by majority goes on to do so: other instances may not
// have adopted the manifest yet, and their samples wouldn't cover writes that only the primary has.
func (n *session) refresh() {
	before := n.login.Route
	n.srv.cfg.Directory.Refresh(&n.login)
	n.login.Route.SessionScope = before.SessionScope
	if before.Acknowledge == manifest.AcknowledgeMajority {
		n.login.Route.Acknowledge = before.Acknowledge
	}
}

func (n *session) handleQuery(m *pgproto3.Query) error {
	if n.unit != nil {
		return errProtocol("a simple query came before the Sync of an extended one")
	}
	u := newUnit()
	u.simple = true
	class := statement.Classify(m.String)
	u.sql = n.makeBeginReadOnly(m.String, &class)
	u.addExecution(class)
	if class.Kind == statement.Refused {
		u.fail(errRefused(class))
	}
	return n.run(u)
}

// makeBeginReadOnly makes a transaction read-only where the session or the route asks for it.
func (n *session) makeBeginReadOnly(sql string, c *statement.Class) string {
	if c.Kind != statement.Begin || c.Access != statement.AccessDefault || !n.isReadOnly() {
		return sql
	}
	c.Access = statement.ReadOnly
	return sql[:c.End] + " READ ONLY"
}

func (n *session) isReadOnly() bool {
	return n.readOnly || n.login.Route.ReadOnly
}

// handleSync runs the pipeline received so far.
func (n *session) handleSync() error {
	u := n.unit
	n.unit = nil
	if u == nil {
		u = newUnit()
	}
	return n.run(u)
}

// handleFlush answers what a pipeline has prepared and described so far. A pipeline that binds or
// executes is refused: it runs as one unit at its Sync, so that it can be repeated on another server.
func (n *session) handleFlush() error {
	u := n.unit
	if u == nil || u.err == errReported {
		return nil
	}
	if u.hasBind && u.err == nil {
		u.fail(invalid(codeFeatureNotSupported, "Flush after Bind is not supported",
			"send Sync to get the answers"))
	}
	u.endsWithFlush = true
	n.unit = newUnit()
	failed, err := n.runUnit(u)
	if failed {
		n.unit.err = errReported
	}
	if err != nil {
		return err
	}
	return n.out.flush()
}

// errReported stands for an error that the caller was told before Sync; the rest of the pipeline is
// ignored.
var errReported = &outcome.Error{Kind: outcome.Invalid}

func (n *session) refuseFunctionCall() error {
	u := newUnit()
	u.fail(invalid(codeFeatureNotSupported, "the function call message is not supported",
		"call the function with SELECT"))
	return n.run(u)
}

// handleExtended buffers one message of a pipeline. After an error the rest up to Sync is ignored.
func (n *session) handleExtended(m pgproto3.FrontendMessage) error {
	if n.unit == nil {
		n.unit = newUnit()
	}
	u := n.unit
	if u.err != nil {
		return nil
	}
	e, err := n.buffer(u, m)
	if err != nil {
		return err
	}
	if limit := n.srv.cfg.MaxPipelineSize; e == nil && len(u.raw) > limit {
		e = errPipelineTooLarge(limit)
	}
	if e != nil {
		u.fail(e)
	}
	return nil
}

func (n *session) buffer(u *unit, m pgproto3.FrontendMessage) (*outcome.Error, error) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return n.bufferParse(u, m)
	case *pgproto3.Bind:
		return n.bufferBind(u, m)
	case *pgproto3.Describe:
		return n.bufferDescribe(u, m)
	case *pgproto3.Execute:
		return n.bufferExecute(u, m)
	case *pgproto3.Close:
		return n.bufferClose(u, m)
	}
	return nil, errProtocol("unexpected message")
}

func errRefused(c statement.Class) *outcome.Error {
	return invalid(codeFeatureNotSupported, c.Message, c.Remedy)
}
