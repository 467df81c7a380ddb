// Package edge holds the edge command of the daemon.
package edge

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/flagenv"
	"github.com/cyclamenstile/cyclamenstile/proxy/asynclog"
	"github.com/cyclamenstile/cyclamenstile/proxy/node"
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
		RunE:  func(cmd *cobra.Command, _ []string) error { return run(cmd, path) },
	}
	cmd.Flags().StringVar(&path, "settings", "", "path of the settings file")
	flagenv.Describe(cmd)
	return cmd
}

func run(cmd *cobra.Command, path string) error {
	if err := flagenv.Apply(cmd.Flags()); err != nil {
		return err
	}
	settings, err := node.ReadSettings(cmd.Flag("settings").Value.String())
	if err != nil {
		return err
	}
	log, out, err := newLog(settings.LogLevel)
	if err != nil {
		return err
	}
	defer out.Close()
	n, err := node.New(settings, log)
	if err != nil {
		return err
	}
	return n.Run(cmd.Context())
}

// newLog returns a log of JSON lines on standard output that never blocks.
func newLog(level string) (*logrus.Logger, *asynclog.Writer, error) {
	log := logrus.New()
	out := asynclog.New(os.Stdout)
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	if level == "" {
		return log, out, nil
	}
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.Newf("logLevel: %q is not a level; use debug, info, warning or error", level)
	}
	log.SetLevel(parsed)
	return log, out, nil
}
