package ctl

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v2"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
)

// fetchHeader precedes a fetched manifest; its arguments are the stored version, the next version and the
// stored version.
const fetchHeader = `# Version %d as stored. To change it, raise version to %d or higher and apply the file with
#   cyclamenctl apply --if-version %d FILE
`

// fetchResult describes the file written.
type fetchResult struct {
	Version uint64 `json:"version"` // the value for apply --if-version
	Output  string `json:"output"`
}

func (r fetchResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "wrote version %d to %s; raise its version and apply it with --if-version %d\n", r.Version, r.Output, r.Version)
}

func newFetch(o *options) *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "fetch",
		Short: "Write the stored manifest, from which the next one is made",
		Long: `fetch writes the stored manifest as YAML, or as JSON with --json, to standard output or to a file, which must
not exist yet. The document can be edited, validated and applied on the condition that its version is still
the stored one. Comments are not stored, so the reviewed file stays the source where there is one.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.withStore(cmd, func(ctx context.Context, s configStore) error {
				base, err := s.load(ctx)
				if err != nil {
					return err
				}
				return o.writeManifest(cmd, base, output)
			})
		},
	}
	cmd.Flags().StringVar(&output, "output", "", "file to write in place of standard output")
	return cmd
}

// writeManifest writes a stored manifest to the new file name, or to standard output if name is empty.
func (o *options) writeManifest(cmd *cobra.Command, base storedManifest, name string) error {
	if base.objectVersion == 0 {
		return errors.Wrap(objectstore.ErrNotFound, "no manifest is stored; apply the first one with --if-version 0")
	}
	if name == "" && o.json {
		return writeJSON(cmd.OutOrStdout(), base.manifest)
	}
	doc, err := encodeYAML(base.manifest)
	if err != nil {
		return err
	}
	if name == "" {
		_, err = cmd.OutOrStdout().Write(doc)
		return errors.Wrap(err, "write the manifest")
	}
	if err := writeNewFile(name, doc); err != nil {
		return errors.Wrap(err, "write the manifest; name a file that doesn't exist, in a directory that does")
	}
	return o.print(cmd.OutOrStdout(), fetchResult{Version: base.manifest.Version, Output: name})
}

// encodeYAML returns fetchHeader and m as YAML, with the fields in the order of the manifest reference.
func encodeYAML(m manifest.Manifest) ([]byte, error) {
	asJSON, err := m.Encode()
	if err != nil {
		return nil, err
	}
	var fields yaml.MapSlice // preserves the order
	if err := yaml.Unmarshal(asJSON, &fields); err != nil {
		return nil, errors.Wrap(err, "convert the manifest to YAML")
	}
	body, err := yaml.Marshal(fields)
	if err != nil {
		return nil, errors.Wrap(err, "convert the manifest to YAML")
	}
	doc := bytes.NewBufferString(fmt.Sprintf(fetchHeader, m.Version, m.Version+1, m.Version))
	doc.Write(body)
	return doc.Bytes(), nil
}

// writeNewFile fails if the file exists, because it may hold an operator's edits.
func writeNewFile(name string, content []byte) error {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	return errors.CombineErrors(err, file.Close())
}
