package manifest

import (
	"fmt"
	"strconv"
	"strings"
)

// Fault is one error in a document.
type Fault struct {
	Path    string `json:"path"` // such as databases[0].servers[1].slots; empty for the whole document
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String formats the fault in one line.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Problem + "; " + f.Remedy
	}
	return f.Path + ": " + f.Problem + "; " + f.Remedy
}

// Faults lists all errors in a document. A non-empty list is used as an error.
type Faults []Fault

// Error formats the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("manifest has %d fault(s); correct them and apply it again", len(f)))
	for _, fault := range f {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil when it is empty.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

func (f *Faults) add(path, problem, remedy string) {
	*f = append(*f, Fault{Path: path, Problem: problem, Remedy: remedy})
}

func indexPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

func fieldPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
