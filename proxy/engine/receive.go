package engine

import (
	"io"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/statement"
)

// handleMessage processes one message from the caller. An error ends the session.
func (s *session) handleMessage(m pgproto3.FrontendMessage) error {
	if s.unit == nil {
		s.refresh() // once per unit, so that all of it runs with the same settings
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.handleQuery(m)
	case *pgproto3.Sync:
		return s.handleSync()
	case *pgproto3.Terminate:
		return io.EOF
	case *pgproto3.Flush:
		return s.handleFlush()
	case *pgproto3.FunctionCall:
		return s.refuseFunctionCall()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // as PostgreSQL, which ignores them outside COPY
	}
	return s.handleExtended(m)
}

// refresh applies the settings of the current manifest. The session scope stays the one that the session's
// state began with. A session that acknowledges by majority continues to do so: other instances may not have
// adopted the manifest yet, and their samples wouldn't cover writes that only the primary has.
func (s *session) refresh() {
	before := s.login.Route
	s.srv.cfg.Directory.Refresh(&s.login)
	s.login.Route.SessionScope = before.SessionScope
	if before.Acknowledge == manifest.AcknowledgeMajority {
		s.login.Route.Acknowledge = before.Acknowledge
	}
}

func (s *session) handleQuery(m *pgproto3.Query) error {
	if s.unit != nil {
		return errProtocol("a simple query came before the Sync of an extended one")
	}
	u := newUnit()
	u.simple = true
	class := statement.Classify(m.String)
	u.sql = s.makeBeginReadOnly(m.String, &class)
	u.addExecution(class)
	if class.Kind == statement.Refused {
		u.fail(errRefused(class))
	}
	return s.run(u)
}

// makeBeginReadOnly adds READ ONLY to a BEGIN without an access mode if the session or the route is read-only.
func (s *session) makeBeginReadOnly(sql string, c *statement.Class) string {
	if c.Kind != statement.Begin || c.Access != statement.AccessDefault || !s.isReadOnly() {
		return sql
	}
	c.Access = statement.ReadOnly
	return sql[:c.End] + " READ ONLY"
}

func (s *session) isReadOnly() bool {
	return s.readOnly || s.login.Route.ReadOnly
}

// handleSync runs the pipeline received so far.
func (s *session) handleSync() error {
	u := s.unit
	s.unit = nil
	if u == nil {
		u = newUnit()
	}
	return s.run(u)
}

// handleFlush answers the Parse and Describe messages received so far. A pipeline that binds or executes
// is refused: it runs as one unit at its Sync, so that it can be repeated on another server.
func (s *session) handleFlush() error {
	u := s.unit
	if u == nil || u.err == errReported {
		return nil
	}
	if u.hasBind && u.err == nil {
		u.fail(invalid(codeFeatureNotSupported, "Flush after Bind is not supported",
			"send Sync to get the answers"))
	}
	u.endsWithFlush = true
	s.unit = newUnit()
	failed, err := s.runUnit(u)
	if failed {
		s.unit.err = errReported
	}
	if err != nil {
		return err
	}
	return s.out.flush()
}

// errReported marks a unit whose error was sent to the caller before Sync; the rest of the pipeline is
// ignored.
var errReported = &outcome.Error{Kind: outcome.Invalid}

func (s *session) refuseFunctionCall() error {
	u := newUnit()
	u.fail(invalid(codeFeatureNotSupported, "the function call message is not supported",
		"call the function with SELECT"))
	return s.run(u)
}

// handleExtended buffers one message of a pipeline. After an error the rest up to Sync is ignored.
func (s *session) handleExtended(m pgproto3.FrontendMessage) error {
	if s.unit == nil {
		s.unit = newUnit()
	}
	u := s.unit
	if u.err != nil {
		return nil
	}
	e, err := s.buffer(u, m)
	if err != nil {
		return err
	}
	if limit := s.srv.cfg.MaxPipelineSize; e == nil && len(u.raw) > limit {
		e = errPipelineTooLarge(limit)
	}
	if e != nil {
		u.fail(e)
	}
	return nil
}

func (s *session) buffer(u *unit, m pgproto3.FrontendMessage) (*outcome.Error, error) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return s.bufferParse(u, m)
	case *pgproto3.Bind:
		return s.bufferBind(u, m)
	case *pgproto3.Describe:
		return s.bufferDescribe(u, m)
	case *pgproto3.Execute:
		return s.bufferExecute(u, m)
	case *pgproto3.Close:
		return s.bufferClose(u, m)
	}
	return nil, errProtocol("unexpected message")
}

func errRefused(c statement.Class) *outcome.Error {
	return invalid(codeFeatureNotSupported, c.Message, c.Remedy)
}
