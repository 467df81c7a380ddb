package catalogue

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// root is the repository root, relative to this package.
const root = "../../.."

// sourceFile is a parsed source file that is not a test.
type sourceFile struct {
	path string
	*ast.File
}

func parseSources(t *testing.T) []sourceFile {
	t.Helper()
	var files []sourceFile
	for _, module := range []string{"decision", "platform", "proxy", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, module), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			files = append(files, sourceFile{path, parsed})
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// literalText returns the value of a string literal, or "".
func literalText(e ast.Expr) string {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return ""
	}
	s, _ := strconv.Unquote(literal.Value)
	return s
}

// tableRows returns the table rows of a page in docs whose first cell matches first, keyed by the match and
// without that cell.
func tableRows(t *testing.T, page string, first *regexp.Regexp, cells int) map[string][]string {
	t.Helper()
	doc, err := os.ReadFile(filepath.Join(root, "docs", page))
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string][]string)
	for line := range strings.Lines(string(doc)) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			continue
		}
		row := strings.Split(strings.Trim(line, "|"), "|")
		for i := range row {
			row[i] = strings.TrimSpace(row[i])
		}
		key := first.FindStringSubmatch(row[0])
		if key == nil {
			continue
		}
		if len(row) != cells {
			t.Errorf("%s: row of %s has %d cells, want %d", page, key[1], len(row), cells)
			continue
		}
		if found[key[1]] != nil {
			t.Errorf("%s: %s is listed twice", page, key[1])
		}
		found[key[1]] = row[1:]
	}
	if len(found) == 0 {
		t.Fatalf("%s: no row matches %v", page, first)
	}
	return found
}

// checkSameKeys checks that the page lists the same keys as the code has.
func checkSameKeys[A, B any](t *testing.T, page string, listed map[string]A, inCode map[string]B) {
	t.Helper()
	for key := range inCode {
		if _, ok := listed[key]; !ok {
			t.Errorf("%s: %s is in the code, but not on the page", page, key)
		}
	}
	for key := range listed {
		if _, ok := inCode[key]; !ok {
			t.Errorf("%s: %s is on the page, but not in the code", page, key)
		}
	}
}

func sortedFields(cell string) []string {
	fields := strings.FieldsFunc(cell, func(r rune) bool { return r == ',' || r == ' ' || r == '`' })
	slices.Sort(fields)
	return fields
}
