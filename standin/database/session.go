package database

import (
	"io"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// flushBytes is the amount of row data after which a result is written to the client. The write
// blocks while the client doesn't read, which provides back pressure for large results.
const flushBytes = 32 << 10

// session serves one client connection.
type session struct {
	server    *Server
	conn      net.Conn
	backend   *pgproto3.Backend
	pid       uint32
	secret    uint32
	isControl bool // may only run control functions and doesn't count against limits
	isPeer    bool // replication link of another server of the group

	silenced  atomic.Bool // reads and discards all input and never responds again
	executing atomic.Bool
	writing   atomic.Bool   // blocked in a write to the client
	activity  atomic.Value  // string: the state in pg_stat_activity
	interrupt chan struct{} // holds at most one cancel request

	txn           *transaction
	txnFailed     bool // the transaction block has failed and must be ended by the client
	skipUntilSync bool // an extended-protocol message has failed; messages are ignored until Sync
	unsentBytes   int  // bytes of rows since the last flush

	statements map[string]*statement
	portals    map[string]*portal

	preciseTimer *preciseTimer // nil until a short sleep needs it
}

// portal is a prepared statement with its arguments.
type portal struct {
	stmt    *statement
	args    []string
	formats []int16
}

// States of a session in pg_stat_activity. Source: PostgreSQL documentation, "Monitoring Database
// Activity".
const (
	activityActive        = "active"
	activityIdle          = "idle"
	activityInTransaction = "idle in transaction"
	activityFailed        = "idle in transaction (aborted)"
)

func newSession(s *Server, conn net.Conn) *session {
	return &session{
		server:     s,
		conn:       conn,
		backend:    pgproto3.NewBackend(conn, conn),
		interrupt:  make(chan struct{}, 1),
		statements: make(map[string]*statement),
		portals:    make(map[string]*portal),
	}
}

// cancelStatement interrupts the statement in execution, if there is one.
func (s *session) cancelStatement() {
	if !s.executing.Load() {
		return
	}
	select {
	case s.interrupt <- struct{}{}:
	default:
	}
}

// serve handles messages until the connection ends.
func (s *session) serve() error {
	defer s.abortTransaction()
	defer s.closeTimer()
	for {
		msg, err := s.backend.Receive()
		if err != nil {
			return err
		}
		if !s.server.pauseGate.wait(s.server.stopped) {
			return errStopped
		}
		if s.silenced.Load() {
			return s.discardInput()
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return io.EOF
		}
		s.activity.Store(activityActive)
		if err := s.handle(msg); err != nil {
			return err
		}
	}
}

func (s *session) closeTimer() {
	if s.preciseTimer != nil {
		s.preciseTimer.close()
	}
}

// handle processes a message. It returns an error only if the connection must end.
func (s *session) handle(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		return s.simpleQuery(m.String)
	case *pgproto3.Sync:
		return s.handleSync()
	case *pgproto3.Flush:
		return s.flush()
	}
	if s.skipUntilSync {
		return nil
	}
	err := s.handleExtended(msg)
	if err == nil || endsConnection(err) {
		return err
	}
	s.skipUntilSync = true
	s.sendError(err)
	return nil
}

func (s *session) handleExtended(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.executePortal(m)
	case *pgproto3.Close:
		return s.closeObject(m)
	}
	return newSQLError(codeFeatureNotSupported, "message type is not supported by the stand-in")
}

// endsConnection reports whether err ends the connection and not only the statement.
func endsConnection(err error) bool {
	var e *sqlError
	return !errors.As(err, &e)
}

func (s *session) flush() error {
	if !s.server.pauseGate.wait(s.server.stopped) {
		return errStopped
	}
	if s.silenced.Load() {
		return s.discardInput()
	}
	s.unsentBytes = 0
	s.writing.Store(true)
	defer s.writing.Store(false)
	return s.backend.Flush()
}

// discardInput discards what the client sends until it closes the connection.
func (s *session) discardInput() error {
	_, _ = io.Copy(io.Discard, s.conn)
	return errDisconnect
}

func (s *session) sendError(err error) {
	s.rollbackOnError()
	s.backend.Send(errorResponse(err, "ERROR"))
}

// rollbackOnError rolls back the transaction after an error. An explicit one becomes a failed block.
func (s *session) rollbackOnError() {
	if s.txn == nil {
		return
	}
	s.txnFailed = !s.txn.implicit
	s.dropTransaction()
}

// dropTransaction discards the transaction's writes and releases its locks. A failed block remains, marked
// by txnFailed.
func (s *session) dropTransaction() {
	s.server.locks.release(s.txn)
	s.txn = nil
}

func (s *session) abortTransaction() {
	if s.txn != nil {
		s.dropTransaction()
	}
}

func (s *session) ready() error {
	status, activity := byte('I'), activityIdle
	switch {
	case s.txnFailed:
		status, activity = 'E', activityFailed
	case s.txn != nil:
		status, activity = 'T', activityInTransaction
	}
	s.activity.Store(activity)
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.flush()
}

func (s *session) simpleQuery(sql string) error {
	s.skipUntilSync = false
	err := s.runSimple(sql)
	if err == nil {
		err = s.commitImplicit()
	}
	if err != nil {
		if endsConnection(err) {
			return err
		}
		s.sendError(err)
	}
	return s.ready()
}

func (s *session) runSimple(sql string) error {
	list, err := parseAll(sql)
	if err != nil {
		return newSQLError(codeSyntax, err.Error())
	}
	if len(list) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, stmt := range list {
		if err := s.runSimpleStatement(stmt, len(list) > 1, i == len(list)-1); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) runSimpleStatement(stmt *statement, multiple, last bool) error {
	if len(stmt.params) > 0 {
		return newSQLError(codeSyntax, "there is no parameter $1 in a simple query")
	}
	if multiple && s.txn == nil && !s.txnFailed && stmt.kind != stmtBegin {
		s.txn = &transaction{implicit: true}
	}
	args, err := stmt.bindArgs(nil)
	if err != nil {
		return err
	}
	p := &portal{stmt: stmt, args: args}
	if len(stmt.columns) > 0 {
		s.backend.Send(describeRows(stmt.columns, nil))
	}
	tag, err := s.execute(p)
	if err != nil {
		return err
	}
	if last {
		// A write outside a transaction block is committed before its CommandComplete is sent.
		if err := s.commitImplicit(); err != nil {
			return err
		}
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// commitImplicit commits the transaction if it is implicit.
func (s *session) commitImplicit() error {
	if s.txn == nil || !s.txn.implicit {
		return nil
	}
	return s.commit()
}

func (s *session) commit() error {
	if !s.server.pauseGate.wait(s.server.stopped) {
		return errStopped
	}
	defer s.dropTransaction()
	if len(s.txn.ops) == 0 {
		return nil
	}
	return s.server.state.commit(s.txn.ops)
}

func (s *session) handleSync() error {
	s.skipUntilSync = false
	if err := s.commitImplicit(); err != nil {
		if endsConnection(err) {
			return err
		}
		s.sendError(err)
	}
	clear(s.portals)
	return s.ready()
}

func (s *session) parse(m *pgproto3.Parse) error {
	list, err := parseAll(m.Query)
	if err != nil {
		return newSQLError(codeSyntax, err.Error())
	}
	if len(list) > 1 {
		return newSQLError(codeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	stmt := &statement{}
	if len(list) == 1 {
		stmt = list[0]
	}
	if err := s.server.checkParams(stmt); err != nil {
		return err
	}
	s.statements[m.Name] = stmt
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	stmt, ok := s.statements[m.PreparedStatement]
	if !ok {
		return newSQLError(codeUnknownStatement, "prepared statement \""+m.PreparedStatement+"\" does not exist")
	}
	if len(m.Parameters) != len(stmt.params) {
		return newSQLError(codeProtocolViolation, "bind message supplies a wrong number of parameters")
	}
	values := make([]string, len(m.Parameters))
	for i, raw := range m.Parameters {
		v, err := decodeParam(raw, stmt.params[i], formatOf(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		values[i] = v
	}
	args, err := stmt.bindArgs(values)
	if err != nil {
		return err
	}
	formats := append([]int16(nil), m.ResultFormatCodes...)
	s.portals[m.DestinationPortal] = &portal{stmt: stmt, args: args, formats: formats}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// bindArgs returns the values of the statement's operands, with parameters replaced by values.
func (s *statement) bindArgs(values []string) ([]string, error) {
	if len(s.args) == 0 {
		return nil, nil
	}
	args := make([]string, len(s.args))
	for i, a := range s.args {
		switch {
		case a.param == 0:
			args[i] = a.literal
		case a.param <= len(values):
			args[i] = values[a.param-1]
		default:
			return nil, newSQLError(codeProtocolViolation, "a parameter has no value")
		}
	}
	return args, nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	var stmt *statement
	var formats []int16
	if m.ObjectType == 'S' {
		stmt = s.statements[m.Name]
		if stmt == nil {
			return newSQLError(codeUnknownStatement, "prepared statement \""+m.Name+"\" does not exist")
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: stmt.params})
	} else {
		p := s.portals[m.Name]
		if p == nil {
			return newSQLError(codeUnknownPortal, "portal \""+m.Name+"\" does not exist")
		}
		stmt, formats = p.stmt, p.formats
	}
	if len(stmt.columns) == 0 {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(describeRows(stmt.columns, formats))
	return nil
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	p := s.portals[m.Portal]
	if p == nil {
		return newSQLError(codeUnknownPortal, "portal \""+m.Portal+"\" does not exist")
	}
	if m.MaxRows > 0 {
		return newSQLError(codeFeatureNotSupported, "row limits are not supported by the stand-in; fetch all rows")
	}
	if p.stmt.kind == stmtEmpty {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	tag, err := s.execute(p)
	if err != nil {
		return err
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

func (s *session) closeObject(m *pgproto3.Close) error {
	if m.ObjectType == 'S' {
		delete(s.statements, m.Name)
	} else {
		delete(s.portals, m.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
	return nil
}

// sendRow sends one row. values are in text form.
func (s *session) sendRow(p *portal, values ...string) error {
	row := make([][]byte, len(values))
	for i, v := range values {
		raw, err := encodeValue(v, p.stmt.columns[i].oid, formatOf(p.formats, i))
		if err != nil {
			return err
		}
		row[i] = raw
		s.unsentBytes += len(raw)
	}
	s.backend.Send(&pgproto3.DataRow{Values: row})
	if s.unsentBytes < flushBytes {
		return nil
	}
	if err := s.checkInterrupt(); err != nil {
		return err
	}
	return s.flush()
}

func (s *session) checkInterrupt() error {
	select {
	case <-s.interrupt:
		return errCanceled
	default:
		return nil
	}
}
