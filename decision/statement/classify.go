package statement

import "strings"

// maxWord is the length of the longest word that is compared with a word list, in bytes.
const maxWord = 32

// Classify describes sql, which may hold several statements.
func Classify(sql string) Class {
	p := parser{lexer: lexer{sql: sql}}
	p.advance()
	var whole Class
	for p.tok.kind != tokenEnd {
		if p.isSymbol(';') {
			p.advance()
			continue
		}
		whole = merge(whole, p.statement())
	}
	return whole
}

// merge adds the next statement to what is known about those before it.
func merge(whole, next Class) Class {
	if whole.Count == 0 {
		next.Count = 1
		return next
	}
	m := Class{Kind: Write, Count: whole.Count + 1}
	m.TransactionControl = whole.controlsTransaction() || next.controlsTransaction()
	m.CertainWrite = whole.CertainWrite || next.CertainWrite
	m.TaintsConnection = whole.TaintsConnection || next.TaintsConnection
	if whole.Access == ReadWrite || next.Access == ReadWrite {
		m.Access = ReadWrite
	}
	switch {
	case whole.Kind == Refused:
		return refused(whole.Message, whole.Remedy, m.Count)
	case next.Kind == Refused:
		return refused(next.Message, next.Remedy, m.Count)
	case isLocal(whole.Kind) || isLocal(next.Kind):
		return refused("a session setting can't be combined with other statements in one request",
			"send it as a request of its own", m.Count)
	case whole.Kind == Read && next.Kind == Read:
		m.Kind = Read
	}
	return m
}

func (c Class) controlsTransaction() bool {
	return c.TransactionControl || c.Kind == Begin || c.Kind == Commit || c.Kind == Rollback
}

func isLocal(k Kind) bool {
	return k == Setting || k == Discard
}

func refused(message, remedy string, count int) Class {
	return Class{Kind: Refused, Message: message, Remedy: remedy, Count: count}
}

// parser looks at one token at a time; word holds the lower-case form of a word token.
type parser struct {
	lexer
	tok  token
	word string
	end  int // behind the last token of the present statement
	buf  [maxWord]byte
}

func (p *parser) advance() {
	p.tok = p.next()
	p.word = ""
	if p.tok.kind == tokenWord {
		p.word = p.foldWord(p.text())
	}
	if p.tok.kind != tokenEnd && !p.isSymbol(';') {
		p.end = p.tok.end
	}
}

func (p *parser) text() string {
	return p.sql[p.tok.start:p.tok.end]
}

func (p *parser) isSymbol(c byte) bool {
	return p.tok.kind == tokenSymbol && p.sql[p.tok.start] == c
}

func (p *parser) atEnd() bool {
	return p.tok.kind == tokenEnd || p.isSymbol(';')
}

// foldWord folds the ASCII letters of a word that is on one of the lists, and keeps other words as
// they are.
func (p *parser) foldWord(s string) string {
	if len(s) > maxWord || !hasUpper(s) {
		return s
	}
	for i := range len(s) {
		c := s[i]
		if c >= 'A' && c <= 'Z' {
			c |= 0x20
		}
		p.buf[i] = c
	}
	if w, found := internedWords[string(p.buf[:len(s)])]; found {
		return w
	}
	return s
}

func hasUpper(s string) bool {
	for i := range len(s) {
		if s[i] >= 'A' && s[i] <= 'Z' {
			return true
		}
	}
	return false
}

func (p *parser) statement() Class {
	first := p.word
	if p.tok.kind != tokenWord {
		first = "("
	}
	c := p.byFirstWord(first)
	c.End = p.end
	p.skipStatement(&c)
	return c
}

func (p *parser) byFirstWord(first string) Class {
	switch first {
	case "select", "with", "values", "table", "explain", "(":
		return p.query()
	case "show":
		return p.show()
	case "begin", "start":
		return p.begin()
	case "commit", "end":
		return p.endTransaction(Commit)
	case "rollback", "abort":
		return p.endTransaction(Rollback)
	case "savepoint", "release":
		return p.consumeRest(Class{Kind: InTransaction})
	case "set":
		return p.set()
	case "reset":
		return p.reset()
	case "discard", "deallocate", "unlisten":
		return p.discard(first)
	case "create":
		return p.create()
	case "declare":
		return p.declare()
	case "prepare":
		return p.prepare()
	}
	if r, ok := refusedFirstWords[first]; ok {
		return p.consumeRest(Class{Kind: Refused, Message: r.message, Remedy: r.remedy})
	}
	_, certain := writeFirstWords[first]
	taints := first == "do" || first == "call"
	return p.consumeRest(Class{Kind: Write, CertainWrite: certain, TaintsConnection: taints})
}

// skipStatement goes to the end of the statement and keeps a refusal found on the way.
func (p *parser) skipStatement(c *Class) {
	rest := p.consumeRest(*c)
	if c.Kind != Refused && rest.Kind == Refused {
		*c = rest
	}
}

// consumeRest reads the rest of the statement and refuses it when it would leave state behind.
func (p *parser) consumeRest(c Class) Class {
	for !p.atEnd() {
		if r, ok := p.sessionStateRefusal(); ok && c.Kind != Refused {
			c = Class{Kind: Refused, Message: r.message, Remedy: r.remedy}
		}
		p.advance()
	}
	c.End = p.end
	return c
}

// query scans a statement that is a read unless a word in it is doubtful.
func (p *parser) query() Class {
	c := Class{Kind: Read}
	previous, qualifier := "", ""
	for !p.atEnd() {
		if r, ok := p.sessionStateRefusal(); ok {
			return p.consumeRest(Class{Kind: Refused, Message: r.message, Remedy: r.remedy})
		}
		word, kind := p.word, p.tok.kind
		if _, found := writeWords[word]; found && kind == tokenWord {
			c.Kind = Write
		}
		if previous == "into" && (word == "temp" || word == "temporary") {
			return p.consumeRest(Class{Kind: Refused, Message: refusedTemporary.message, Remedy: refusedTemporary.remedy})
		}
		if previous == "for" && (word == "share" || word == "no" || word == "key") {
			c.Kind = Write
		}
		dotted := p.isSymbol('.')
		p.advance()
		if p.isSymbol('(') && isName(kind) && !p.isSafeCall(word, kind, previous, qualifier) {
			c.Kind = Write
		}
		if dotted {
			qualifier = previous
			previous = "."
			continue
		}
		previous = word
		if kind != tokenWord {
			previous = "?"
		}
	}
	return c
}

func isName(k tokenKind) bool {
	return k == tokenWord || k == tokenQuoted
}

// isSafeCall tells whether a name before an opening parenthesis is a key word, a column list
// after AS or a known function of pg_catalog.
func (p *parser) isSafeCall(word string, kind tokenKind, previous, qualifier string) bool {
	if kind != tokenWord {
		return false
	}
	if previous == "." {
		_, found := safeFunctions[word]
		return found && qualifier == "pg_catalog"
	}
	if previous == "as" {
		return true
	}
	if _, key := nonFunctionWords[word]; key {
		return true
	}
	_, found := safeFunctions[word]
	return found
}

func (p *parser) begin() Class {
	c := Class{Kind: Begin}
	c.Access = p.access()
	return p.consumeRest(c)
}

// access reads to the end of the statement and returns the last access mode that it names.
func (p *parser) access() Access {
	mode := AccessDefault
	previous := ""
	for !p.atEnd() {
		if previous == "read" && p.word == "only" {
			mode = ReadOnly
		}
		if previous == "read" && p.word == "write" {
			mode = ReadWrite
		}
		previous = p.word
		p.advance()
	}
	return mode
}

func (p *parser) endTransaction(kind Kind) Class {
	p.advance()
	if p.word == "work" || p.word == "transaction" {
		p.advance()
	}
	if p.word == "prepared" {
		return p.refuse(refusedTwoPhase)
	}
	if p.word == "to" {
		return p.consumeRest(Class{Kind: InTransaction, RollbackTo: true})
	}
	return p.consumeRest(Class{Kind: kind})
}

func (p *parser) create() Class {
	for range 5 {
		p.advance()
		if p.word == "temp" || p.word == "temporary" {
			return p.refuse(refusedTemporary)
		}
		if p.word == "table" || p.word == "view" || p.word == "sequence" || p.atEnd() {
			break
		}
	}
	return p.consumeRest(Class{Kind: Write, CertainWrite: true})
}

func (p *parser) declare() Class {
	previous := ""
	for !p.atEnd() {
		if previous == "with" && p.word == "hold" {
			return p.refuse(refusedWithHold)
		}
		previous = p.word
		p.advance()
	}
	return Class{Kind: Write}
}

func (p *parser) prepare() Class {
	p.advance()
	if p.word == "transaction" {
		return p.refuse(refusedTwoPhase)
	}
	return p.refuse(refusedSQLPrepare)
}

func (p *parser) refuse(r refusal) Class {
	return p.consumeRest(Class{Kind: Refused, Message: r.message, Remedy: r.remedy})
}

// unquote returns the content of a quoted identifier or string constant.
func unquote(s string) string {
	if len(s) < 2 {
		return s
	}
	q := s[:1]
	if q != "'" && q != `"` {
		return s
	}
	inner := s[1 : len(s)-1]
	if strings.Contains(inner, q) {
		inner = strings.ReplaceAll(inner, q+q, q)
	}
	return inner
}
