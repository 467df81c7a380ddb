package serve

import (
	"net"
	"os"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cyclamenstile": func() { os.Exit(Main()) },
	})
}

// Guards against invalid settings that are reported one at a time, silently replaced by defaults, or
// reported with an exit code that a supervisor can't distinguish from a runtime failure.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			busy, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			env.Defer(func() { _ = busy.Close() })
			env.Setenv("BUSY", busy.Addr().String())
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
	})
}

// exits implements the script command "exits CODE COMMAND...": it runs a command and checks its exit code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	code := 0
	if exit, ok := ts.Exec(args[1], args[2:]...).(interface{ ExitCode() int }); ok {
		code = exit.ExitCode()
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}
