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
	// gcPercent is the growth of memory between two garbage collections. Memory at its peak is dearer
	// here than processor time.
	gcPercent = 40
	// memoryLimitPercent is the part of the memory that the process may use, in percent, from which on the collector works
	// harder. The rest is for stacks and what is not in the heap.
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
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	go n.ReloadOnChange(cmd.Context(), path, hangUp, log.SetLevel)
	return n.Run(cmd.Context())
}

// limitMemory sets how hard the garbage collector works in this process. limit is in MiB; 0 is none.
func limitMemory(limit int64) {
	debug.SetGCPercent(gcPercent)
	if limit > 0 {
		debug.SetMemoryLimit(limit << 20 * memoryLimitPercent / 100)
	}
}

// newLog returns a log of JSON lines on standard output that never blocks.
func newLog(level logrus.Level) (*logrus.Logger, *asynclog.Writer) {
	log := logrus.New()
	out := asynclog.New(os.Stdout)
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	log.SetLevel(level)
	return log, out
}
