// Package flagenv lets every flag of a command be set by an environment variable: CYCLAMENSTILE_ followed
// by the flag name in upper case with underscores. A flag on the command line takes precedence.
package flagenv

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// Prefix is the prefix of all variable names.
const Prefix = "CYCLAMENSTILE_"

// UsageError is an error in the command line or in an environment variable.
type UsageError struct {
	Err error
}

// Error implements error.
func (e UsageError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the underlying error.
func (e UsageError) Unwrap() error {
	return e.Err
}

// Name returns the name of the environment variable of a flag.
func Name(flag *pflag.Flag) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(flag.Name, "-", "_"))
}

func hasVariable(flag *pflag.Flag) bool {
	return flag.Name != "help"
}

// Describe adds the variable's name to the help of every flag of cmd and its subcommands.
func Describe(cmd *cobra.Command) {
	describe := func(flag *pflag.Flag) {
		suffix := " [" + Name(flag) + "]"
		if hasVariable(flag) && !strings.HasSuffix(flag.Usage, suffix) {
			flag.Usage += suffix
		}
	}
	cmd.PersistentFlags().VisitAll(describe)
	cmd.Flags().VisitAll(describe)
	for _, child := range cmd.Commands() {
		Describe(child)
	}
}

// Apply sets the flags that are missing on the command line from their environment variables.
func Apply(flags *pflag.FlagSet) error {
	var errs []error
	flags.VisitAll(func(flag *pflag.Flag) {
		value, ok := os.LookupEnv(Name(flag))
		if !ok || flag.Changed || !hasVariable(flag) {
			return
		}
		if err := flags.Set(flag.Name, value); err != nil {
			errs = append(errs, errors.Newf("environment variable %s has the wrong value %q: %v", Name(flag), value, err))
		}
	})
	return errors.Join(errs...)
}
