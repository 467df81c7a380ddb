package demo

import (
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/flagenv"
)

// DefaultDuration is the load time of both policies together; startup and shutdown take a few more seconds.
const DefaultDuration = 20 * time.Second

const help = `demo starts a stand-in store, a database of three servers and two instances of the proxy in this
process, over real sockets, and runs a small load. It kills the primary, moves a session between
the instances, withdraws a key and lets an account exceed its rate. It ends with a table of what
callers experienced, beside a plain policy in the same run. The exit code is 1 if a promise was
broken.

With --listen the first instance serves on that address and the second on the next port, from the
start and after the report until it is interrupted; any PostgreSQL client can connect as user
visitor with password demo to database orders.

With --platform the instances serve the users' line protocol on a stand-in of the users' platform,
and there is no plain policy beside them.`

// errViolation is returned if the report lists a violation. It makes the exit code 1.
var errViolation = errors.New("a promise was broken; see the report")

// NewCommand returns the demo command.
func NewCommand() *cobra.Command {
	c := Config{}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Show the proxy under load and failures in one process",
		Long:  help,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			asJSON, _ := cmd.Flags().GetBool("json")
			return runCommand(cmd, c, asJSON)
		},
	}
	f := cmd.Flags()
	f.DurationVar(&c.Duration, "duration", DefaultDuration, "load on both policies together")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of the load")
	f.BoolVar(&c.Platform, "platform", false, "run on the stand-in of the users' platform")
	f.StringVar(&c.Listen, "listen", "", "IP:port to go on serving on after the report")
	return cmd
}

func runCommand(cmd *cobra.Command, c Config, asJSON bool) error {
	if err := c.Validate(); err != nil {
		return flagenv.UsageError{Err: err}
	}
	out := cmd.OutOrStdout()
	c.Progress = out
	if asJSON {
		c.Progress = cmd.ErrOrStderr()
	}
	c.OnReport = func(r *Report) error { return write(out, r, asJSON) }
	report, err := Run(cmd.Context(), c)
	if err != nil {
		return err
	}
	if report.HasViolations() {
		return errViolation
	}
	return nil
}

func write(w io.Writer, r *Report, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(r)
	}
	return r.Table(w)
}
