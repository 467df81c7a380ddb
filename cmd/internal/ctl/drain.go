package ctl

import (
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
)

func newDrain(o *options) *cobra.Command {
	var server string
	var undo bool
	cmd := &cobra.Command{
		Use:   "drain",
		Short: "Mark a server as leaving in the stored manifest; it receives no new statements",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.updateManifest(cmd, func(base storedManifest) (manifest.Manifest, error) {
				return withLeaving(base, server, !undo)
			})
		},
	}
	cmd.Flags().StringVar(&server, "server", "", "id of the server")
	cmd.Flags().BoolVar(&undo, "undo", false, "let the server receive statements again")
	_ = cmd.MarkFlagRequired("server")
	return cmd
}

func withLeaving(base storedManifest, server string, leaving bool) (manifest.Manifest, error) {
	next := base.successor()
	for i := range next.Databases {
		servers := next.Databases[i].Servers
		for j := range servers {
			if servers[j].ID == server {
				servers[j].Leaving = leaving
				return next, nil
			}
		}
	}
	return next, errors.Wrapf(objectstore.ErrNotFound, "server %q is not in the stored manifest", server)
}
