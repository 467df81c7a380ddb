// Command cyclamenstile is the proxy daemon.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/serve"
)

func main() {
	root := &cobra.Command{
		Use:           "cyclamenstile",
		Short:         "Database proxy for PostgreSQL clients with session consistency",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serve.New())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "cyclamenstile:", err)
		os.Exit(1)
	}
}
