package serve

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/edge"
)

// Exit codes; rootHelp documents them.
const (
	exitOK    = 0
	exitOther = 1
	exitUsage = 2
)

const rootHelp = `cyclamenstile is a database proxy for PostgreSQL clients with session consistency.

Exit codes:
  0  success; serve ended by SIGTERM or SIGINT after its drain
  1  other failure, such as an address in use
  2  wrong command line, environment variable or setting`

// runtimeError marks an error that was not caused by the command line or the settings.
type runtimeError struct{ error }

func (e runtimeError) Unwrap() error {
	return e.error
}

// Main runs the command given by os.Args and returns its exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return execute(ctx, newRoot(), os.Stderr)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "cyclamenstile",
		Short:         "Database proxy for PostgreSQL clients with session consistency",
		Long:          rootHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(New(), edge.New(), edge.NewCheckSettings())
	return root
}

func execute(ctx context.Context, root *cobra.Command, stderr io.Writer) int {
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "cyclamenstile:", err)
	if errors.HasType(err, runtimeError{}) {
		return exitOther
	}
	return exitUsage
}
