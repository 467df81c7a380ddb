package statement

import "strings"

type tokenKind int

const (
	tokenEnd    tokenKind = iota
	tokenWord             // unquoted identifier or keyword
	tokenQuoted           // quoted identifier, including the quotes
	tokenString           // string constant or dollar-quoted text
	tokenNumber
	tokenSymbol // single character
)

type token struct {
	kind       tokenKind
	start, end int
}

// lexer splits SQL text into tokens and skips white space and comments. It assumes that
// standard_conforming_strings is on, as the proxy reports it to every caller.
type lexer struct {
	sql string
	pos int
}

func (l *lexer) next() token {
	l.skipWhitespaceAndComments()
	start := l.pos
	if start >= len(l.sql) {
		return token{tokenEnd, start, start}
	}
	kind := l.scan()
	return token{kind, start, l.pos}
}

func (l *lexer) scan() tokenKind {
	c := l.sql[l.pos]
	switch {
	case c == '\'':
		l.skipString(false)
		return tokenString
	case c == '"':
		l.skipQuoted('"')
		return tokenQuoted
	case c == '$' && l.skipDollarQuoted():
		return tokenString
	case isWordStart(c):
		return l.scanWord()
	case isDigit(c):
		l.skipWhile(func(c byte) bool { return isWordPart(c) || c == '.' })
		return tokenNumber
	}
	l.pos++
	return tokenSymbol
}

// scanWord scans a word, or a string constant or identifier with a prefix, such as E'...' or U&"...".
func (l *lexer) scanWord() tokenKind {
	start := l.pos
	l.skipWhile(isWordPart)
	if l.peek(0) == '&' && l.pos-start == 1 && strings.ContainsRune("uU", rune(l.sql[start])) {
		return l.scanUnicode()
	}
	if l.peek(0) != '\'' || l.pos-start != 1 {
		return tokenWord
	}
	switch l.sql[start] {
	case 'e', 'E':
		l.skipString(true)
		return tokenString
	case 'b', 'B', 'x', 'X', 'n', 'N':
		l.skipString(false)
		return tokenString
	}
	return tokenWord
}

func (l *lexer) scanUnicode() tokenKind {
	switch l.peek(1) {
	case '\'':
		l.pos++
		l.skipString(false)
		return tokenString
	case '"':
		l.pos++
		l.skipQuoted('"')
		return tokenQuoted
	}
	return tokenWord
}

func (l *lexer) skipWhitespaceAndComments() {
	for l.pos < len(l.sql) {
		switch {
		case isSpace(l.sql[l.pos]):
			l.pos++
		case strings.HasPrefix(l.sql[l.pos:], "--"):
			l.skipWhile(func(c byte) bool { return c != '\n' && c != '\r' })
		case strings.HasPrefix(l.sql[l.pos:], "/*"):
			l.skipComment()
		default:
			return
		}
	}
}

// skipComment skips a block comment. PostgreSQL allows nested comments.
func (l *lexer) skipComment() {
	depth := 0
	for l.pos < len(l.sql) {
		switch {
		case strings.HasPrefix(l.sql[l.pos:], "/*"):
			depth++
			l.pos += 2
		case strings.HasPrefix(l.sql[l.pos:], "*/"):
			depth--
			l.pos += 2
		default:
			l.pos++
		}
		if depth == 0 {
			return
		}
	}
}

func (l *lexer) skipString(backslashEscapes bool) {
	if !backslashEscapes {
		l.skipQuoted('\'')
		return
	}
	for l.pos++; l.pos < len(l.sql); l.pos++ {
		switch l.sql[l.pos] {
		case '\\':
			l.pos++
		case '\'':
			if l.peek(1) != '\'' {
				l.pos++
				return
			}
			l.pos++
		}
	}
	l.pos = len(l.sql)
}

// skipQuoted skips quoted text in which a doubled quote stands for the quote character.
func (l *lexer) skipQuoted(quote byte) {
	for l.pos++; l.pos < len(l.sql); l.pos++ {
		if l.sql[l.pos] != quote {
			continue
		}
		if l.peek(1) != quote {
			l.pos++
			return
		}
		l.pos++
	}
	l.pos = len(l.sql)
}

// skipDollarQuoted skips a dollar-quoted string, $tag$...$tag$, and reports whether there was one.
func (l *lexer) skipDollarQuoted() bool {
	end := l.pos + 1
	for end < len(l.sql) && isWordPart(l.sql[end]) && l.sql[end] != '$' {
		end++
	}
	if end >= len(l.sql) || l.sql[end] != '$' || isDigit(l.sql[l.pos+1]) {
		return false
	}
	tag := l.sql[l.pos : end+1]
	closing := strings.Index(l.sql[end+1:], tag)
	if closing < 0 {
		l.pos = len(l.sql)
		return true
	}
	l.pos = end + 1 + closing + len(tag)
	return true
}

func (l *lexer) skipWhile(accept func(byte) bool) {
	for l.pos < len(l.sql) && accept(l.sql[l.pos]) {
		l.pos++
	}
}

func (l *lexer) peek(n int) byte {
	if l.pos+n >= len(l.sql) {
		return 0
	}
	return l.sql[l.pos+n]
}

func isSpace(c byte) bool {
	return c == ' ' || (c >= '\t' && c <= '\r')
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

func isWordStart(c byte) bool {
	return c == '_' || c >= 0x80 || (c|0x20 >= 'a' && c|0x20 <= 'z')
}

func isWordPart(c byte) bool {
	return isWordStart(c) || isDigit(c) || c == '$'
}
