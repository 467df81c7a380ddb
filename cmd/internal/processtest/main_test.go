// Package processtest runs the released binaries as separate processes behind relays that inject
// faults, and checks recorded histories. It contains only tests.
package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	// The packages of the binaries are imported so that a change to them invalidates cached test results:
	// the go command does not track what the binaries are built from.
	_ "github.com/cyclamenstile/cyclamenstile/cmd/internal/benchcmd"
	_ "github.com/cyclamenstile/cyclamenstile/cmd/internal/ctl"
	_ "github.com/cyclamenstile/cyclamenstile/cmd/internal/demo"
	_ "github.com/cyclamenstile/cyclamenstile/cmd/internal/serve"
	_ "github.com/cyclamenstile/cyclamenstile/cmd/internal/standincmd"
)

const (
	// eventTimeout limits every wait for an event.
	eventTimeout = 60 * time.Second
	// pollInterval is the time between two polls for an event.
	pollInterval = 5 * time.Millisecond
	// maxDeployments limits the concurrent deployments; each has up to seven processes.
	maxDeployments = 4
)

var (
	daemonBinary, ctlBinary string

	deployments = make(chan struct{}, maxDeployments)
)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	daemonBinary = filepath.Join(dir, "cyclamenstile")
	ctlBinary = filepath.Join(dir, "cyclamenctl")
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../cyclamenstile", "../../cyclamenctl")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the binaries: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// waitUntil waits until a time that is part of a bound under test.
func waitUntil(t *testing.T, what string, at time.Time) {
	t.Helper()
	waitFor(t, what, func() bool { return !time.Now().Before(at) })
}

// waitFor polls until done returns true.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("%s: did not happen within %s", what, eventTimeout)
		}
	}
}
