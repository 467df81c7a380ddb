package statement

import "strings"

// maxWordBytes is the maximum length of a word that is looked up in the word lists.
const maxWordBytes = 32

// Classify classifies sql, which may contain several statements.
func Classify(sql string) Class {
	p := parser{lexer: lexer{sql: sql}}
	p.advance()
	var merged Class
	for p.tok.kind != tokenEnd {
		if p.isSymbol(';') {
			p.advance()
			continue
		}
		merged = merge(merged, p.statement())
	}
	return merged
}

// merge combines the class of the preceding statements with that of the next one.
func merge(first, second Class) Class {
	if first.Count == 0 {
		second.Count = 1
		return second
	}
	merged := Class{Kind: Write, Count: first.Count + 1}
	merged.TransactionControl = first.controlsTransaction() || second.controlsTransaction()
	merged.CertainWrite = first.CertainWrite || second.CertainWrite
	merged.TaintsConnection = first.TaintsConnection || second.TaintsConnection
	if first.Access == ReadWrite || second.Access == ReadWrite {
		merged.Access = ReadWrite
	}
	switch {
	case first.Kind == Refused:
		return refused(first.Message, first.Remedy, merged.Count)
	case second.Kind == Refused:
		return refused(second.Message, second.Remedy, merged.Count)
	case isLocal(first.Kind) || isLocal(second.Kind):
		return refused("a session setting can't be combined with other statements in one request",
			"send it as a request of its own", merged.Count)
	case first.Kind == Read && second.Kind == Read:
		merged.Kind = Read
	}
	return merged
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

// parser reads one token at a time; word holds the lower-case form of a word token.
type parser struct {
	lexer
	tok  token
	word string
	end  int // offset after the last token of the current statement
	buf  [maxWordBytes]byte
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

// foldWord returns a word from the word lists in lower case, without allocating, and other words
// unchanged.
func (p *parser) foldWord(s string) string {
	if len(s) > maxWordBytes || !hasUpper(s) {
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

// skipStatement reads to the end of the statement. If it has to be refused, c becomes the refusal.
func (p *parser) skipStatement(c *Class) {
	rest := p.consumeRest(*c)
	if c.Kind != Refused && rest.Kind == Refused {
		*c = rest
	}
}

// consumeRest reads the rest of the statement and refuses it if it would leave session state behind.
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

// query scans a statement that is a read unless it contains a word or a function call that may write.
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

// isSafeCall reports whether a name before an opening parenthesis can't call a function with side
// effects: it is a keyword, the name before a column list after AS, or a safe function of pg_catalog.
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

// access reads to the end of the statement and returns the last access mode that it specifies.
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

// unquote returns the content of a quoted identifier or string constant, and other text unchanged.
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
