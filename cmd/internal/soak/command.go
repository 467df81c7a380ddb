package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/platformlocal"
)

// errViolation is returned if a run found a violation.
var errViolation = errors.New("a promise was broken; the result names the seed and the logs")

// NewCommand returns the soak command.
func NewCommand() *cobra.Command {
	cfg := Config{}
	var seeds int
	var verbose bool
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run real instances under random faults and check the promises",
		Long: `soak starts instances as processes, databases and the platform as stand-ins, and injects faults from outside. It prints
one JSON line a seed and fails if a promise was broken. Nothing but loopback is used.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Log = io.Discard
			if verbose {
				cfg.Log = cmd.ErrOrStderr()
			}
			return runSeeds(cmd, cfg, seeds)
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Binary, "binary", platformlocal.DaemonBinary(), "the daemon to run")
	f.StringVar(&cfg.Dir, "dir", "", "folder for settings and logs; default: a temporary one, kept after a broken promise")
	f.Uint64Var(&cfg.Seed, "seed", 1, "first seed")
	f.IntVar(&seeds, "seeds", 1, "number of seeds, one after the other")
	f.DurationVar(&cfg.Duration, "duration", 15*time.Second, "time of the faults in each run")
	f.IntVar(&cfg.Instances, "processes", 4, "instances")
	f.IntVar(&cfg.Databases, "databases", 2, "databases of three servers each")
	f.IntVar(&cfg.Callers, "callers", 16, "callers")
	f.BoolVar(&cfg.OnlyRestores, "only-restores", false, "no fault but a store that comes back from copies")
	f.BoolVar(&cfg.Evacuations, "evacuations", true, "evacuate failure domains and take them back, beside the other faults")
	f.BoolVar(&cfg.Unfenced, "unfenced", false, "a former primary goes on until it is told to step down")
	f.IntVar(&cfg.Copies, "copies", 0, "replicas that must have received a commit before it is acknowledged; above 0, replicas lag and are busy")
	f.BoolVar(&verbose, "verbose", false, "print each fault")
	return cmd
}

func runSeeds(cmd *cobra.Command, cfg Config, seeds int) error {
	broken := false
	first := cfg.Seed
	for n := range seeds {
		cfg.Seed = first + uint64(n)
		result, err := Run(cmd.Context(), cfg)
		if err != nil {
			return err
		}
		if cmd.Context().Err() != nil {
			return errors.New("the soak was interrupted; its last run says nothing")
		}
		line, err := json.Marshal(result)
		if err != nil {
			return errors.Wrap(err, "encode a result")
		}
		if _, err := fmt.Fprintln(cmd.OutOrStdout(), string(line)); err != nil {
			return errors.Wrap(err, "print a result")
		}
		broken = broken || len(result.Violations) > 0
	}
	if broken {
		return errViolation
	}
	return nil
}
