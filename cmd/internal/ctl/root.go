// Package ctl holds the commands of cyclamenctl, the operators' tool.
//
// Every flag can also be set by an environment variable: CYCLAMENSTILE_ followed by the flag name in
// upper case with underscores. Results go to standard output and errors to standard error, both
// as JSON with --json.
package ctl

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/flagenv"
)

// defaultTimeout limits a whole command, including all its attempts to reach the store.
const defaultTimeout = 30 * time.Second

const rootHelp = `cyclamenctl validates and applies the configuration of cyclamenstile and shows what is in force.

Every flag can be set by the environment variable given in brackets; the flag takes precedence.

Exit codes:
  0  success
  1  other failure
  2  wrong command line or environment variable
  3  manifest has faults
  4  conflict: another operator changed the configuration first
  5  store or an instance is not available; the outcome of a change may be unknown
  6  not found
  7  burn: a service-level objective is at risk or missed`

// options holds the flags shared by all commands.
type options struct {
	store   string
	timeout time.Duration
	json    bool
}

// NewRoot returns the root command with extra added as subcommands. The extra commands get the shared
// flags and the environment variables for their own flags; they must not set PersistentPreRunE.
func NewRoot(extra ...*cobra.Command) *cobra.Command {
	o := &options{}
	root := Group(&cobra.Command{
		Use:   "cyclamenctl",
		Short: "Configure and inspect cyclamenstile",
		Long:  rootHelp,
	})
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.PersistentPreRunE = prepare
	flags := root.PersistentFlags()
	flags.StringVar(&o.store, "store", "", "address of the platform's store, such as http://10.0.0.5:8080")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "time for the whole command")
	flags.BoolVar(&o.json, "json", false, "print results and errors as JSON")
	root.AddCommand(
		newValidate(o), newDiff(o), newApply(o), newFetch(o), newStatus(o), newKeys(o), newDrain(o), newBurn(o), newExplain(o), newInspect(o),
	)
	root.AddCommand(extra...)
	root.InitDefaultHelpCmd()
	root.InitDefaultCompletionCmd()
	flagenv.Describe(root)
	return root
}

// Main runs the command given by os.Args and returns its exit code.
func Main(root *cobra.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Execute(ctx, root, os.Args[1:], os.Stdout, os.Stderr)
}

// Execute runs root with the given arguments and returns the exit code.
func Execute(ctx context.Context, root *cobra.Command, args []string, stdout, stderr io.Writer) int {
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	cmd, err := root.ExecuteContextC(ctx)
	if err == nil {
		return exitOK
	}
	if !isPrepared(cmd) {
		err = flagenv.UsageError{Err: err}
	}
	asJSON, _ := root.PersistentFlags().GetBool("json")
	return report(stderr, err, asJSON)
}

// Group makes cmd a parent of subcommands: alone it prints its help, and it rejects unknown subcommands.
func Group(cmd *cobra.Command) *cobra.Command {
	cmd.Args = cobra.ArbitraryArgs
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if len(args) > 0 {
			return usagef("unknown command %q; run %q for the list", args[0], cmd.CommandPath()+" --help")
		}
		return cmd.Help()
	}
	return cmd
}

// preparedKey is the annotation of a command whose flags and arguments passed the checks. Failures
// before that are usage errors.
const preparedKey = "prepared"

// prepare applies the environment variables and checks the flags before a command runs. Cobra checks
// required flags only later, where such a failure can't be distinguished from one of the command.
func prepare(cmd *cobra.Command, _ []string) error {
	if err := flagenv.Apply(cmd.Flags()); err != nil {
		return err
	}
	if err := cmd.ValidateRequiredFlags(); err != nil {
		return err
	}
	if err := cmd.ValidateFlagGroups(); err != nil {
		return err
	}
	if cmd.Annotations == nil {
		cmd.Annotations = map[string]string{}
	}
	cmd.Annotations[preparedKey] = "true"
	return nil
}

func isPrepared(cmd *cobra.Command) bool {
	return cmd != nil && cmd.Annotations[preparedKey] != ""
}
