// Package edge holds the edge command of the daemon.
package edge

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/flagenv"
	"github.com/cyclamenstile/cyclamenstile/proxy/asynclog"
	"github.com/cyclamenstile/cyclamenstile/proxy/node"
)

const (
	// gcPercent is the heap growth between two garbage collections. It is below Go's default of 100 because
	// peak memory costs more here than processor time.
	gcPercent = 40
	// memoryLimitPercent sets the soft memory limit of the Go runtime, above which it collects more often, as a
	// percentage of the memory that the process may use. The rest is for stacks and memory outside the heap.
	memoryLimitPercent = 75
)

const help = `edge runs one instance of the proxy on the users' platform until SIGTERM, then drains. Its
settings are a YAML file; deploy/settings.yaml shows them all.`

// New returns the edge command.
func New() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "edge",
		Short: "Run one instance of the proxy on the users' platform",
		Long:  help,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := flagenv.Apply(cmd.Flags()); err != nil {
				return err
			}
			return run(cmd, path)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "path of the settings file")
	flagenv.Describe(cmd)
	return cmd
}

func run(cmd *cobra.Command, path string) error {
	settings, err := node.ReadSettings(path)
	if err != nil {
		return err
	}
	limitMemory(settings.MemoryMiB)
	log, out := newLog(settings.Level())
	defer out.Close()
	n, err := node.New(settings, log)
	if err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	go n.ReloadOnChange(cmd.Context(), path, reload, log.SetLevel)
	return n.Run(cmd.Context())
}

// limitMemory configures the garbage collector of this process. limit is in MiB; 0 means no limit.
func limitMemory(limit int64) {
	debug.SetGCPercent(gcPercent)
	if limit > 0 {
		debug.SetMemoryLimit(limit << 20 * memoryLimitPercent / 100)
	}
}

// newLog returns a logger that writes JSON lines to standard output without ever blocking, and its writer.
func newLog(level logrus.Level) (*logrus.Logger, *asynclog.Writer) {
	log := logrus.New()
	out := asynclog.New(os.Stdout)
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	log.SetLevel(level)
	return log, out
}
