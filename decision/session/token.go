package session

import (
	"strconv"
	"strings"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// tokenPrefix identifies the token format, so that later formats can be distinguished.
const tokenPrefix = "cyc1"

// codeInvalidParameter is SQLSTATE 22023, invalid_parameter_value.
const codeInvalidParameter = "22023"

// maxTokenBytes is the longest accepted token; a PostgreSQL database name takes at most 63 bytes of it.
const maxTokenBytes = 256

// FormatToken returns the token of a position in a database, cyc1:database:term/lsn in plain text.
func FormatToken(database string, p position.Position) string {
	return tokenPrefix + ":" + database + ":" + p.String()
}

// ParseToken parses a token of database. The error is an *outcome.Error of kind Invalid.
func ParseToken(database, text string) (position.Position, error) {
	if len(text) > maxTokenBytes {
		return position.Position{}, invalidToken("is too long")
	}
	format, rest, _ := strings.Cut(text, ":")
	if format != tokenPrefix {
		return position.Position{}, invalidToken("has an unknown format")
	}
	cut := strings.LastIndexByte(rest, ':')
	if cut < 0 {
		return position.Position{}, invalidToken("has no position")
	}
	if rest[:cut] != database {
		return position.Position{}, invalidToken("belongs to another database")
	}
	return parsePosition(rest[cut+1:])
}

func parsePosition(text string) (position.Position, error) {
	term, lsn, _ := strings.Cut(text, "/")
	t, err := parseNumber(term)
	if err != nil {
		return position.Position{}, err
	}
	l, err := parseNumber(lsn)
	if err != nil {
		return position.Position{}, err
	}
	return position.Position{Term: t, LSN: l}, nil
}

// parseNumber accepts only the form that FormatToken writes, so that a position has only one token.
func parseNumber(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || strconv.FormatUint(n, 10) != text {
		return 0, invalidToken("has a malformed position")
	}
	return n, nil
}

func invalidToken(problem string) *outcome.Error {
	return outcome.New(outcome.Invalid, codeInvalidParameter,
		"the session token "+problem,
		"hand in the last cyclamenstile.session_token of the same database unchanged, or none")
}
