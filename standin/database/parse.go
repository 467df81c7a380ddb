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
	stmtActivity  // SELECT state, wait_event FROM pg_stat_activity WHERE pid = ...
	stmtTerminate // SELECT pg_terminate_backend(...)
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

// operand is a literal or, with param > 0, the parameter of that number.
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
	kind       statementKind
	args       []operand
	onConflict conflictAction
	appends    bool // UPDATE with value = value || operand
	returning  bool
	readOnly   bool // BEGIN READ ONLY
	params     []uint32
	columns    []column
}

func (s *statement) writes() bool {
	return s.kind == stmtInsert || s.kind == stmtUpdate || s.kind == stmtDelete
}

func (s *statement) control() bool {
	return s.kind >= stmtProbe
}

// usesSlot reports whether the statement waits for one of the server's slots. Statements that
// only change the state of the session don't.
func (s *statement) usesSlot() bool {
	return s.kind >= stmtSelectValue && s.kind <= stmtDelete
}

var errSyntax = errors.New("not in the grammar of the stand-in")

// parseAll parses the statements of src, which semicolons separate. Empty ones are left out.
func parseAll(src string) ([]*statement, error) {
	p := &parser{lex: lexer{src: src}}
	p.advance()
	var list []*statement
	for {
		for p.symbol(";") {
		}
		if p.tok.kind == tokenEnd {
			return list, nil
		}
		s := p.statement()
		if p.tok.kind != tokenEnd && p.tok.text != ";" {
			p.fail()
		}
		if p.err != nil {
			return nil, p.err
		}
		list = append(list, s)
	}
}

// parser is a recursive descent parser. It keeps its first error; after one, results are void.
type parser struct {
	lex  lexer
	tok  token
	stmt *statement
	err  error
}

func (p *parser) advance() { p.tok = p.lex.next() }

func (p *parser) fail() {
	if p.err == nil {
		p.err = errors.Wrapf(errSyntax, "syntax error at or near %q", p.tok.text)
	}
}

func (p *parser) accept(kind tokenKind, text string) bool {
	if p.err != nil || p.tok.kind != kind || p.tok.text != text {
		return false
	}
	p.advance()
	return true
}

func (p *parser) symbol(s string) bool { return p.accept(tokenSymbol, s) }
func (p *parser) word(w string) bool   { return p.accept(tokenWord, w) }

func (p *parser) needSymbol(list ...string) {
	for _, s := range list {
		if !p.symbol(s) {
			p.fail()
		}
	}
}

func (p *parser) needWords(list ...string) {
	for _, w := range list {
		if !p.word(w) {
			p.fail()
		}
	}
}

func (p *parser) statement() *statement {
	p.stmt = &statement{}
	switch {
	case p.word("select"):
		p.selectStatement()
	case p.word("insert"):
		p.insert()
	case p.word("update"):
		p.update()
	case p.word("delete"):
		p.needWords("from", "kv")
		p.finish(stmtDelete)
		p.whereKey()
		p.returning()
	case p.word("begin"):
		p.begin()
	case p.word("start"):
		p.needWords("transaction")
		p.begin()
	case p.word("commit"), p.word("end"):
		p.endTransaction(stmtCommit)
	case p.word("rollback"), p.word("abort"):
		p.endTransaction(stmtRollback)
	case p.word("show"):
		p.needWords("transaction_read_only")
		p.finish(stmtShowReadOnly, column{"transaction_read_only", oidText})
	default:
		p.fail()
	}
	return p.stmt
}

func (p *parser) finish(kind statementKind, columns ...column) {
	p.stmt.kind = kind
	p.stmt.columns = columns
}

func (p *parser) selectStatement() {
	switch {
	case p.symbol("*"):
		p.needWords("from")
		p.control()
	case p.word("value"):
		p.needWords("from", "kv")
		p.finish(stmtSelectValue, column{"value", oidText})
		p.whereKey()
	case p.word("key"):
		p.needSymbol(",")
		p.needWords("value", "from", "kv")
		p.finish(stmtSelectAll, column{"key", oidText}, column{"value", oidText})
	case p.word("state"):
		p.needSymbol(",")
		p.needWords("wait_event", "from", "pg_stat_activity", "where", "pid")
		p.needSymbol("=")
		p.finish(stmtActivity, column{"state", oidText}, column{"wait_event", oidText})
		p.operand(oidInt4)
	case p.word("pg_terminate_backend"):
		p.finish(stmtTerminate, column{"pg_terminate_backend", oidBool})
		p.arguments(oidInt4)
	case p.word("pg_sleep"):
		p.finish(stmtSleep, column{"pg_sleep", oidVoid})
		p.arguments(oidFloat8)
	case p.word("repeat"):
		p.finish(stmtRepeat, column{"repeat", oidText})
		p.arguments(oidText, oidInt4)
		p.needWords("from", "generate_series")
		p.arguments(oidInt4, oidInt4)
	case p.accept(tokenNumber, "1"):
		p.finish(stmtSelectOne, column{"?column?", oidInt4})
	default:
		p.fail()
	}
}

func (p *parser) control() {
	p.needWords("cyclamenstile")
	p.needSymbol(".")
	switch {
	case p.word("probe"):
		p.finish(stmtProbe, stateColumns...)
		p.arguments()
	case p.word("fence"):
		p.finish(stmtFence, stateColumns...)
		p.arguments(oidInt8, oidText)
	case p.word("promote"):
		p.finish(stmtPromote, stateColumns...)
		p.arguments(oidInt8, oidText)
	case p.word("log"):
		p.finish(stmtLog, column{"record", oidText})
		p.arguments(oidInt8, oidInt8)
	default:
		p.fail()
	}
}

func (p *parser) insert() {
	p.needWords("into", "kv")
	if p.symbol("(") {
		p.needWords("key")
		p.needSymbol(",")
		p.needWords("value")
		p.needSymbol(")")
	}
	p.needWords("values")
	p.finish(stmtInsert)
	p.arguments(oidText, oidText)
	for p.symbol(",") {
		p.arguments(oidText, oidText)
	}
	if p.word("on") {
		p.conflict()
	}
	p.returning()
}

func (p *parser) conflict() {
	p.needWords("conflict")
	p.needSymbol("(")
	p.needWords("key")
	p.needSymbol(")")
	p.needWords("do", "update", "set", "value")
	p.needSymbol("=")
	p.stmt.onConflict = conflictReplaces
	if p.word("kv") {
		p.needSymbol(".")
		p.needWords("value")
		p.needSymbol("||")
		p.stmt.onConflict = conflictAppends
	}
	p.needWords("excluded")
	p.needSymbol(".")
	p.needWords("value")
}

func (p *parser) update() {
	p.needWords("kv", "set", "value")
	p.needSymbol("=")
	p.finish(stmtUpdate)
	if p.word("value") {
		p.needSymbol("||")
		p.stmt.appends = true
	}
	p.operand(oidText)
	p.whereKey()
	p.returning()
}

func (p *parser) whereKey() {
	p.needWords("where", "key")
	p.needSymbol("=")
	p.operand(oidText)
}

func (p *parser) returning() {
	if !p.word("returning") {
		return
	}
	p.needWords("value")
	p.stmt.returning = true
	p.stmt.columns = []column{{"value", oidText}}
}

func (p *parser) begin() {
	p.finish(stmtBegin)
	if !p.word("transaction") {
		p.word("work")
	}
	if p.word("read") {
		p.stmt.readOnly = p.word("only")
		if !p.stmt.readOnly {
			p.needWords("write")
		}
	}
}

func (p *parser) endTransaction(kind statementKind) {
	if !p.word("transaction") {
		p.word("work")
	}
	p.finish(kind)
}

// arguments reads a parenthesised list of operands of the given types.
func (p *parser) arguments(oids ...uint32) {
	p.needSymbol("(")
	for i, oid := range oids {
		if i > 0 {
			p.needSymbol(",")
		}
		p.operand(oid)
	}
	p.needSymbol(")")
}

func (p *parser) operand(oid uint32) {
	if p.err != nil {
		return
	}
	o := operand{literal: p.tok.text}
	switch p.tok.kind {
	case tokenString, tokenNumber:
	case tokenParam:
		o = operand{param: p.parameter(oid)}
	default:
		p.fail()
		return
	}
	p.advance()
	if p.symbol("::") {
		p.advance()
	}
	p.stmt.args = append(p.stmt.args, o)
}

// maxParams is the protocol's limit on the parameters of a statement.
const maxParams = 65535

func (p *parser) parameter(oid uint32) int {
	n, err := strconv.Atoi(p.tok.text)
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
