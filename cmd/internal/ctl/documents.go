package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
)

// readFile parses the manifest in the named file, or on standard input if name is "-".
func readFile(cmd *cobra.Command, name string) (manifest.Manifest, error) {
	doc, err := readDocument(cmd, name)
	if err != nil {
		return manifest.Manifest{}, errors.Wrap(err, "read the manifest; check the file name")
	}
	m, err := manifest.Parse(doc)
	return m, errors.Wrapf(err, "%s", name)
}

func readDocument(cmd *cobra.Command, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(cmd.InOrStdin())
	}
	return os.ReadFile(name)
}

type validateResult struct {
	Valid     bool   `json:"valid"`
	Version   uint64 `json:"version"`
	Databases int    `json:"databases"`
	Accounts  int    `json:"accounts"`
	Routes    int    `json:"routes"`
}

func (r validateResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "valid: version %d, %d database(s), %d account(s), %d route(s)\n", r.Version, r.Databases, r.Accounts, r.Routes)
}

func newValidate(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a manifest and list all its faults",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			m, err := readFile(cmd, args[0])
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), validateResult{
				Valid:     true,
				Version:   m.Version,
				Databases: len(m.Databases),
				Accounts:  len(m.Accounts),
				Routes:    len(m.Routes),
			})
		},
	}
}

type diffResult struct {
	From    uint64            `json:"from"` // version, or 0 if there is no manifest
	To      uint64            `json:"to"`
	Changes []manifest.Change `json:"changes"`
}

func (r diffResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "version %d to %d: %d change(s)\n", r.From, r.To, len(r.Changes))
	for _, c := range r.Changes {
		fmt.Fprintln(w, "  "+c.String())
	}
}

func newDiffResult(from, to manifest.Manifest) diffResult {
	changes := manifest.Diff(from, to)
	if changes == nil {
		changes = []manifest.Change{} // an empty list in JSON, not null
	}
	return diffResult{From: from.Version, To: to.Version, Changes: changes}
}

func newDiff(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff [OLD] NEW",
		Short: "List the changes from the stored manifest, or from the file OLD, to the file NEW",
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			to, err := readFile(cmd, args[len(args)-1])
			if err != nil {
				return err
			}
			from, err := o.diffBase(cmd, args)
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), newDiffResult(from, to))
		},
	}
}

func (o *options) diffBase(cmd *cobra.Command, args []string) (manifest.Manifest, error) {
	if len(args) == 2 {
		return readFile(cmd, args[0])
	}
	var base storedManifest
	err := o.withStore(cmd, func(ctx context.Context, s configStore) (err error) {
		base, err = s.load(ctx)
		return err
	})
	return base.manifest, err
}
