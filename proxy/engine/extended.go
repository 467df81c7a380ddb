package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/statement"
)

const (
	// upstreamPrefix begins the names of prepared statements on servers.
	upstreamPrefix = "cyc_"
	// hashBytes is the length of the SHA-256 prefix in a name; collisions are impossible in practice.
	hashBytes = 16
)

// prepared is a prepared statement of a caller.
type prepared struct {
	sql   string
	oids  []uint32
	class statement.Class
	// name is the statement's name on servers, a hash of its content; empty for the unnamed statement.
	name string
}

func newPrepared(named bool, sql string, oids []uint32, class statement.Class) *prepared {
	p := &prepared{sql: sql, oids: slices.Clone(oids), class: class}
	if named {
		p.name = upstreamName(sql, oids)
	}
	return p
}

func upstreamName(sql string, oids []uint32) string {
	h := sha256.New()
	_, _ = h.Write([]byte(sql))
	for _, o := range oids {
		var b [5]byte // a zero byte, which SQL can't contain, and the OID
		binary.BigEndian.PutUint32(b[1:], o)
		_, _ = h.Write(b[:])
	}
	return upstreamPrefix + hex.EncodeToString(h.Sum(nil)[:hashBytes])
}

func (p *prepared) parse() *pgproto3.Parse {
	return &pgproto3.Parse{Name: p.name, Query: p.sql, ParameterOIDs: p.oids}
}

func (s *session) bufferParse(u *unit, m *pgproto3.Parse) (*outcome.Error, error) {
	if m.Name != "" && s.statement(u, m.Name) != nil {
		return invalid(codeDuplicatePrepared, "prepared statement "+strconv.Quote(m.Name)+" already exists",
			"close it first or use another name"), nil
	}
	if m.Name != "" && s.statements.full(&s.srv.cfg, len(m.Query)) {
		return invalid(codeProgramLimitExceeded, "the session has too many prepared statements",
			"close statements that are no longer used"), nil
	}
	class := statement.Classify(m.Query)
	if class.Kind == statement.Refused {
		return errRefused(class), nil
	}
	sql := s.makeBeginReadOnly(m.Query, &class)
	p := newPrepared(m.Name != "", sql, m.ParameterOIDs, class)
	u.noteClass(class)
	return nil, u.add(op{kind: opParse, stmt: p, name: m.Name}, p.parse())
}

func (s *session) bufferBind(u *unit, m *pgproto3.Bind) (*outcome.Error, error) {
	p := s.statement(u, m.PreparedStatement)
	if p == nil {
		return errNoStatement(m.PreparedStatement), nil
	}
	if m.DestinationPortal != "" && len(s.portals) >= s.srv.cfg.MaxPreparedStatements {
		return invalid(codeProgramLimitExceeded, "the transaction has too many portals",
			"close portals that are no longer used"), nil
	}
	u.noteClass(p.class)
	m.PreparedStatement = p.name
	return nil, u.add(op{kind: opBind, stmt: p, name: m.DestinationPortal}, m)
}

func (s *session) bufferDescribe(u *unit, m *pgproto3.Describe) (*outcome.Error, error) {
	if m.ObjectType != 'S' {
		p := s.portal(u, m.Name)
		if p == nil {
			return errNoPortal(m.Name), nil
		}
		return nil, u.add(op{kind: opDescribePortal, stmt: p}, m)
	}
	p := s.statement(u, m.Name)
	if p == nil {
		return errNoStatement(m.Name), nil
	}
	u.noteClass(p.class)
	m.Name = p.name
	return nil, u.add(op{kind: opDescribeStatement, stmt: p}, m)
}

func (s *session) bufferExecute(u *unit, m *pgproto3.Execute) (*outcome.Error, error) {
	p := s.portal(u, m.Portal)
	if p == nil {
		return errNoPortal(m.Portal), nil
	}
	u.addExecution(p.class)
	return nil, u.add(op{kind: opExecute, stmt: p}, m)
}

func (s *session) bufferClose(u *unit, m *pgproto3.Close) (*outcome.Error, error) {
	kind := opCloseStatement
	if m.ObjectType != 'S' {
		kind = opClosePortal
	}
	return nil, u.add(op{kind: kind, name: m.Name}, m)
}

// statement finds a prepared statement as it will be after the messages buffered so far.
func (s *session) statement(u *unit, name string) *prepared {
	for i := len(u.ops) - 1; i >= 0 && u.redefinesStatements; i-- {
		o := &u.ops[i]
		if o.name != name {
			continue
		}
		switch o.kind {
		case opParse:
			return o.stmt
		case opCloseStatement:
			return nil
		}
	}
	return s.statements.get(name)
}

// portal finds a portal as it will be after the messages buffered so far.
func (s *session) portal(u *unit, name string) *prepared {
	for i := len(u.ops) - 1; i >= 0; i-- {
		o := &u.ops[i]
		if o.name != name {
			continue
		}
		switch o.kind {
		case opBind:
			return o.stmt
		case opClosePortal:
			return nil
		}
	}
	return s.portals[name]
}

// applyPrepared applies the completed messages of the unit to the session's statements and portals.
// Prepared statements outlive a failed transaction; portals end with their transaction.
func (s *session) applyPrepared(u *unit) {
	for _, o := range u.ops[:u.completedOps] {
		switch o.kind {
		case opParse:
			s.statements.put(o.name, o.stmt)
		case opCloseStatement:
			s.statements.remove(o.name)
		case opBind:
			s.storePortal(o.name, o.stmt)
		case opClosePortal:
			delete(s.portals, o.name)
		}
	}
	if !s.tx.active() {
		s.portals = nil
	}
}

func (s *session) storePortal(name string, p *prepared) {
	if !s.tx.active() {
		return
	}
	if s.portals == nil {
		s.portals = make(map[string]*prepared)
	}
	s.portals[name] = p
}

func errNoStatement(name string) *outcome.Error {
	return invalid(codeInvalidStatementName, "prepared statement "+strconv.Quote(name)+" does not exist",
		"prepare it on this connection first")
}

func errNoPortal(name string) *outcome.Error {
	return invalid(codeInvalidCursorName, "portal "+strconv.Quote(name)+" does not exist",
		"bind it first; portals end with their transaction")
}
