package database

import "strings"

type tokenKind int

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenString
	tokenNumber
	tokenParam
	tokenSymbol
	tokenInvalid
)

type token struct {
	kind tokenKind
	text string
}

// lexer splits SQL text into tokens. Words are converted to lower case.
type lexer struct {
	src string
	pos int
}

func (l *lexer) next() token {
	l.skipSpace()
	if l.pos >= len(l.src) {
		return token{kind: tokenEnd}
	}
	c := l.src[l.pos]
	switch {
	case isLetter(c):
		return token{tokenWord, strings.ToLower(l.takeWhile(isWordByte))}
	case isDigit(c):
		return token{tokenNumber, l.takeWhile(isNumberByte)}
	case c == '$':
		l.pos++
		return token{tokenParam, l.takeWhile(isDigit)}
	case c == '\'':
		return l.quoted('\'', tokenString)
	case c == '"':
		return l.quoted('"', tokenWord)
	}
	return l.symbol()
}

func (l *lexer) skipSpace() {
	for l.pos < len(l.src) {
		rest := l.src[l.pos:]
		switch {
		case strings.HasPrefix(rest, "--"):
			l.skipPast("\n")
		case strings.HasPrefix(rest, "/*"):
			l.skipPast("*/")
		case strings.IndexByte(" \t\r\n", rest[0]) >= 0:
			l.pos++
		default:
			return
		}
	}
}

func (l *lexer) skipPast(end string) {
	i := strings.Index(l.src[l.pos:], end)
	if i < 0 {
		l.pos = len(l.src)
		return
	}
	l.pos += i + len(end)
}

func (l *lexer) takeWhile(accept func(byte) bool) string {
	start := l.pos
	for l.pos < len(l.src) && accept(l.src[l.pos]) {
		l.pos++
	}
	return l.src[start:l.pos]
}

// quoted reads a quoted token. A doubled quote stands for the quote itself.
func (l *lexer) quoted(quote byte, kind tokenKind) token {
	var b strings.Builder
	for l.pos++; l.pos < len(l.src); l.pos++ {
		if l.src[l.pos] != quote {
			b.WriteByte(l.src[l.pos])
			continue
		}
		if l.pos+1 < len(l.src) && l.src[l.pos+1] == quote {
			l.pos++
			b.WriteByte(quote)
			continue
		}
		l.pos++
		return token{kind, b.String()}
	}
	return token{tokenInvalid, "unterminated quoted text"}
}

func (l *lexer) symbol() token {
	for _, s := range []string{"||", "::"} {
		if strings.HasPrefix(l.src[l.pos:], s) {
			l.pos += len(s)
			return token{tokenSymbol, s}
		}
	}
	l.pos++
	return token{tokenSymbol, l.src[l.pos-1 : l.pos]}
}

func isLetter(c byte) bool     { return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }
func isDigit(c byte) bool      { return c >= '0' && c <= '9' }
func isWordByte(c byte) bool   { return isLetter(c) || isDigit(c) }
func isNumberByte(c byte) bool { return isDigit(c) || c == '.' }
