package database

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

type statementKind int

const (
	stmtEmpty statementKind = iota
	stmtSelectValue
	stmtSelectAll
	stmtSelectOne
	stmtSleep
	stmtRepeat
	stmtInsert
	stmtUpdate
	stmtDelete
	stmtBegin
	stmtCommit
	stmtRollback
	stmtShowReadOnly
	stmtProbe
	stmtFence
	stmtPromote
	stmtLog
	stmtSelectActivity // SELECT state, wait_event FROM pg_stat_activity WHERE pid = ...
	stmtTerminate      // SELECT pg_terminate_backend(...)
)

// Type OIDs of columns and parameters. Source: PostgreSQL catalogue pg_type.
const (
	oidBool   = 16
	oidInt8   = 20
	oidInt4   = 23
	oidText   = 25
	oidFloat8 = 701
	oidVoid   = 2278
)

// operand is a literal or, if param > 0, the parameter with that number.
type operand struct {
	param   int
	literal string
}

type conflictAction int

const (
	conflictFails conflictAction = iota
	conflictReplaces
	conflictAppends // value = kv.value || excluded.value
)

type column struct {
	name string
	oid  uint32
}

// statement is a parsed statement. args holds its operands in the order of the grammar: keys and
// values alternate for INSERT, the new value precedes the key for UPDATE.
type statement struct {
	kind         statementKind
	args         []operand
	onConflict   conflictAction
	appendsValue bool // UPDATE with value = value || operand
	returnsValue bool
	readOnly     bool // BEGIN READ ONLY
	params       []uint32
	columns      []column
}

func (s *statement) isWrite() bool {
	return s.kind == stmtInsert || s.kind == stmtUpdate || s.kind == stmtDelete
}

func (s *statement) isControl() bool {
	return s.kind >= stmtProbe
}

// usesSlot reports whether the statement occupies one of the server's slots. Statements that only change
// the state of the session don't.
func (s *statement) usesSlot() bool {
	return s.kind >= stmtSelectValue && s.kind <= stmtDelete
}

var errSyntax = errors.New("not in the grammar of the stand-in")

// parseAll parses the statements of src, which are separated by semicolons. Empty statements are
// skipped.
func parseAll(src string) ([]*statement, error) {
	p := &parser{lexer: lexer{src: src}}
	p.advance()
	var list []*statement
	for {
		for p.acceptSymbol(";") {
		}
		if p.current.kind == tokenEnd {
			return list, nil
		}
		s := p.statement()
		if p.current.kind != tokenEnd && p.current.text != ";" {
			p.fail()
		}
		if p.err != nil {
			return nil, p.err
		}
		list = append(list, s)
	}
}

// parser is a recursive descent parser. It keeps the first error, after which its
// results are meaningless.
type parser struct {
	lexer   lexer
	current token
	stmt    *statement
	err     error
}

func (p *parser) advance() { p.current = p.lexer.next() }

func (p *parser) fail() {
	if p.err == nil {
		p.err = errors.Wrapf(errSyntax, "syntax error at or near %q", p.current.text)
	}
}

func (p *parser) accept(kind tokenKind, text string) bool {
	if p.err != nil || p.current.kind != kind || p.current.text != text {
		return false
	}
	p.advance()
	return true
}

func (p *parser) acceptSymbol(s string) bool { return p.accept(tokenSymbol, s) }
func (p *parser) acceptWord(w string) bool   { return p.accept(tokenWord, w) }

func (p *parser) expectSymbols(list ...string) {
	for _, s := range list {
		if !p.acceptSymbol(s) {
			p.fail()
		}
	}
}

func (p *parser) expectWords(list ...string) {
	for _, w := range list {
		if !p.acceptWord(w) {
			p.fail()
		}
	}
}

func (p *parser) statement() *statement {
	p.stmt = &statement{}
	switch {
	case p.acceptWord("select"):
		p.selectStatement()
	case p.acceptWord("insert"):
		p.insert()
	case p.acceptWord("update"):
		p.update()
	case p.acceptWord("delete"):
		p.expectWords("from", "kv")
		p.setKind(stmtDelete)
		p.whereKey()
		p.returning()
	case p.acceptWord("begin"):
		p.begin()
	case p.acceptWord("start"):
		p.expectWords("transaction")
		p.begin()
	case p.acceptWord("commit"), p.acceptWord("end"):
		p.endTransaction(stmtCommit)
	case p.acceptWord("rollback"), p.acceptWord("abort"):
		p.endTransaction(stmtRollback)
	case p.acceptWord("show"):
		p.expectWords("transaction_read_only")
		p.setKind(stmtShowReadOnly, column{"transaction_read_only", oidText})
	default:
		p.fail()
	}
	return p.stmt
}

func (p *parser) setKind(kind statementKind, columns ...column) {
	p.stmt.kind = kind
	p.stmt.columns = columns
}

func (p *parser) selectStatement() {
	switch {
	case p.acceptSymbol("*"):
		p.expectWords("from")
		p.controlFunction()
	case p.acceptWord("value"):
		p.expectWords("from", "kv")
		p.setKind(stmtSelectValue, column{"value", oidText})
		p.whereKey()
	case p.acceptWord("key"):
		p.expectSymbols(",")
		p.expectWords("value", "from", "kv")
		p.setKind(stmtSelectAll, column{"key", oidText}, column{"value", oidText})
	case p.acceptWord("state"):
		p.expectSymbols(",")
		p.expectWords("wait_event", "from", "pg_stat_activity", "where", "pid")
		p.expectSymbols("=")
		p.setKind(stmtSelectActivity, column{"state", oidText}, column{"wait_event", oidText})
		p.operand(oidInt4)
	case p.acceptWord("pg_terminate_backend"):
		p.setKind(stmtTerminate, column{"pg_terminate_backend", oidBool})
		p.arguments(oidInt4)
	case p.acceptWord("pg_sleep"):
		p.setKind(stmtSleep, column{"pg_sleep", oidVoid})
		p.arguments(oidFloat8)
	case p.acceptWord("repeat"):
		p.setKind(stmtRepeat, column{"repeat", oidText})
		p.arguments(oidText, oidInt4)
		p.expectWords("from", "generate_series")
		p.arguments(oidInt4, oidInt4)
	case p.accept(tokenNumber, "1"):
		p.setKind(stmtSelectOne, column{"?column?", oidInt4})
	default:
		p.fail()
	}
}

func (p *parser) controlFunction() {
	p.expectWords("cyclamenstile")
	p.expectSymbols(".")
	switch {
	case p.acceptWord("probe"):
		p.setKind(stmtProbe, stateColumns...)
		p.arguments()
	case p.acceptWord("fence"):
		p.setKind(stmtFence, stateColumns...)
		p.arguments(oidInt8, oidText)
	case p.acceptWord("promote"):
		p.setKind(stmtPromote, stateColumns...)
		p.arguments(oidInt8, oidText)
	case p.acceptWord("log"):
		p.setKind(stmtLog, column{"record", oidText})
		p.arguments(oidInt8, oidInt8)
	default:
		p.fail()
	}
}

func (p *parser) insert() {
	p.expectWords("into", "kv")
	if p.acceptSymbol("(") {
		p.expectWords("key")
		p.expectSymbols(",")
		p.expectWords("value")
		p.expectSymbols(")")
	}
	p.expectWords("values")
	p.setKind(stmtInsert)
	p.arguments(oidText, oidText)
	for p.acceptSymbol(",") {
		p.arguments(oidText, oidText)
	}
	if p.acceptWord("on") {
		p.conflict()
	}
	p.returning()
}

func (p *parser) conflict() {
	p.expectWords("conflict")
	p.expectSymbols("(")
	p.expectWords("key")
	p.expectSymbols(")")
	p.expectWords("do", "update", "set", "value")
	p.expectSymbols("=")
	p.stmt.onConflict = conflictReplaces
	if p.acceptWord("kv") {
		p.expectSymbols(".")
		p.expectWords("value")
		p.expectSymbols("||")
		p.stmt.onConflict = conflictAppends
	}
	p.expectWords("excluded")
	p.expectSymbols(".")
	p.expectWords("value")
}

func (p *parser) update() {
	p.expectWords("kv", "set", "value")
	p.expectSymbols("=")
	p.setKind(stmtUpdate)
	if p.acceptWord("value") {
		p.expectSymbols("||")
		p.stmt.appendsValue = true
	}
	p.operand(oidText)
	p.whereKey()
	p.returning()
}

func (p *parser) whereKey() {
	p.expectWords("where", "key")
	p.expectSymbols("=")
	p.operand(oidText)
}

func (p *parser) returning() {
	if !p.acceptWord("returning") {
		return
	}
	p.expectWords("value")
	p.stmt.returnsValue = true
	p.stmt.columns = []column{{"value", oidText}}
}

func (p *parser) begin() {
	p.setKind(stmtBegin)
	if !p.acceptWord("transaction") {
		p.acceptWord("work")
	}
	if p.acceptWord("read") {
		p.stmt.readOnly = p.acceptWord("only")
		if !p.stmt.readOnly {
			p.expectWords("write")
		}
	}
}

func (p *parser) endTransaction(kind statementKind) {
	if !p.acceptWord("transaction") {
		p.acceptWord("work")
	}
	p.setKind(kind)
}

// arguments parses a parenthesised list of operands of the given types.
func (p *parser) arguments(oids ...uint32) {
	p.expectSymbols("(")
	for i, oid := range oids {
		if i > 0 {
			p.expectSymbols(",")
		}
		p.operand(oid)
	}
	p.expectSymbols(")")
}

func (p *parser) operand(oid uint32) {
	if p.err != nil {
		return
	}
	o := operand{literal: p.current.text}
	switch p.current.kind {
	case tokenString, tokenNumber:
	case tokenParam:
		o = operand{param: p.parameter(oid)}
	default:
		p.fail()
		return
	}
	p.advance()
	if p.acceptSymbol("::") {
		p.advance()
	}
	p.stmt.args = append(p.stmt.args, o)
}

// maxParams is the protocol's limit for the number of parameters of a statement.
const maxParams = 65535

func (p *parser) parameter(oid uint32) int {
	n, err := strconv.Atoi(p.current.text)
	if err != nil || n < 1 || n > maxParams {
		p.fail()
		return 0
	}
	for len(p.stmt.params) < n {
		p.stmt.params = append(p.stmt.params, 0)
	}
	p.stmt.params[n-1] = oid
	return n
}
