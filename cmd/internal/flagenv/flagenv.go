// Package flagenv gives every flag of a command one environment variable, named CYCLAMENSTILE_ and
// the flag in upper case with underscores. A flag on the command line takes precedence.
package flagenv

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// Prefix begins the name of every variable.
const Prefix = "CYCLAMENSTILE_"

// UsageError is a wrong command line or environment variable.
type UsageError struct {
	Err error
}

// Error implements error.
func (e UsageError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the fault.
func (e UsageError) Unwrap() error {
	return e.Err
}

// Name returns the variable of a flag.
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

// Apply sets the flags that the command line left out from their variables.
func Apply(flags *pflag.FlagSet) error {
	var faults []error
	flags.VisitAll(func(flag *pflag.Flag) {
		value, ok := os.LookupEnv(Name(flag))
		if !ok || flag.Changed || !hasVariable(flag) {
			return
		}
		if err := flags.Set(flag.Name, value); err != nil {
			faults = append(faults, errors.Newf("environment variable %s has the wrong value %q: %v", Name(flag), value, err))
		}
	})
	return errors.Join(faults...)
}
