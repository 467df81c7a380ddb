package contain

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against a panic that ends the process, and against one whose place is not known afterwards.
func TestPanicBecomesAnError(t *testing.T) {
	err := Call(func() error { panic("index out of range") })
	var p *PanicError
	if !errors.As(err, &p) || p.Value != "index out of range" || !strings.Contains(p.Stack, "contain_test.go") {
		t.Errorf("error %+v, want one with the panic's value and stack", err)
	}
	want := errors.New("plain")
	if err := Call(func() error { return want }); !errors.Is(err, want) {
		t.Errorf("error %v, want that of the function", err)
	}
}
