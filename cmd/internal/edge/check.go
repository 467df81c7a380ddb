package edge

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/proxy/node"
)

// NewCheckSettings returns the check-settings command.
func NewCheckSettings() *cobra.Command {
	return &cobra.Command{
		Use:   "check-settings FILE",
		Short: "Check a settings file of edge and report every fault",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := node.ReadSettings(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
			return err
		},
	}
}
