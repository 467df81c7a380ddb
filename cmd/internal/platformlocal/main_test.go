package platformlocal

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/edge"
)

// TestMain runs the tests, or the daemon if startProcess has started the binary.
func TestMain(m *testing.M) {
	if len(os.Args) == 4 && os.Args[1] == "edge" {
		go obeyPeerCut(os.Args[3])
		os.Exit(runDaemon(os.Args[2:]))
	}
	os.Exit(m.Run())
}

func runDaemon(args []string) (exitCode int) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	cmd := edge.New()
	cmd.SetArgs(args)
	if cmd.ExecuteContext(ctx) != nil { // the command has printed the error
		return 1
	}
	return 0
}
