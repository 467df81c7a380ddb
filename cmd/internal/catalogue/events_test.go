package catalogue

import (
	"go/ast"
	"go/token"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var eventNumber = regexp.MustCompile(`^(CYC-\d{4})$`)

// event is a constant whose value is an event number.
type event struct {
	name string // name of the constant
	dir  string // directory of its package
	uses int    // mentions in the package, including the declaration
	// levels are the log levels of the call chains that mention the constant, such as
	// log.WithField("event", EventX).Info.
	levels map[string]bool
}

// levelOf maps the methods of the logger to the level names used in events.md.
var levelOf = map[string]string{"Debug": "debug", "Info": "info", "Warn": "warning", "Error": "error"}

// declaredEvents returns the events declared in files, by number.
func declaredEvents(t *testing.T, files []sourceFile) map[string]*event {
	t.Helper()
	events := make(map[string]*event)
	for _, file := range files {
		literals := 0
		ast.Inspect(file.File, func(n ast.Node) bool {
			if e, ok := n.(ast.Expr); ok && strings.Contains(literalText(e), "CYC-") {
				literals++
			}
			return true
		})
		for name, number := range eventConstants(file) {
			literals--
			if old := events[number]; old != nil {
				t.Errorf("%s is used for %s and for %s", number, old.name, name)
			}
			events[number] = &event{name: name, dir: filepath.Dir(file.path), levels: make(map[string]bool)}
		}
		if literals > 0 {
			t.Errorf("%s: %d event numbers are not constants of a file events.go or event.go", file.path, literals)
		}
	}
	return events
}

func eventConstants(file sourceFile) map[string]string {
	found := make(map[string]string)
	if base := filepath.Base(file.path); base != "events.go" && base != "event.go" {
		return found
	}
	for _, d := range file.Decls {
		group, ok := d.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		for _, spec := range group.Specs {
			constant := spec.(*ast.ValueSpec)
			for i, value := range constant.Values {
				if eventNumber.MatchString(literalText(value)) {
					found[constant.Names[i].Name] = literalText(value)
				}
			}
		}
	}
	return found
}

// recordUses counts the mentions in file of the event constants of its package and records the levels they
// are logged at.
func recordUses(file sourceFile, events map[string]*event) {
	dir := filepath.Dir(file.path)
	forEachMention := func(n ast.Node, f func(*event)) {
		ast.Inspect(n, func(n ast.Node) bool {
			name, ok := n.(*ast.Ident)
			for _, e := range events {
				if ok && e.dir == dir && e.name == name.Name {
					f(e)
				}
			}
			return true
		})
	}
	forEachMention(file.File, func(e *event) { e.uses++ })
	ast.Inspect(file.File, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if ok && levelOf[method.Sel.Name] != "" {
			forEachMention(method.X, func(e *event) { e.levels[levelOf[method.Sel.Name]] = true })
		}
		return true
	})
}

// Guards against events missing in events.md, against listed events that the code does not have or logs
// at another level, and against one number for two events.
func TestEventsAreListed(t *testing.T) {
	files := parseSources(t)
	events := declaredEvents(t, files)
	for _, file := range files {
		recordUses(file, events)
	}
	listed := tableRows(t, "events.md", eventNumber, 4)
	checkSameKeys(t, "events.md", listed, events)
	for number, e := range events {
		if e.uses < 2 {
			t.Errorf("%s (%s) is declared, but never logged", number, e.name)
		}
		row := listed[number]
		if row == nil {
			continue
		}
		for level := range e.levels {
			if row[0] != level {
				t.Errorf("%s is logged as %s, but listed as %s", number, level, row[0])
			}
		}
		if row[1] == "" || row[2] == "" {
			t.Errorf("%s has no meaning or no action", number)
		}
	}
}
