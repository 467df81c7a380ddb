package ctl

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/flagenv"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/objectstore/httpstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// retryPause is the time between two attempts to determine the outcome of a put.
const retryPause = 200 * time.Millisecond

// configStore reads and writes the configuration objects in the store.
type configStore struct {
	store objectstore.Store
}

// withStore calls f with the store and a context that ends at the command's timeout.
func (o *options) withStore(cmd *cobra.Command, f func(context.Context, configStore) error) error {
	if o.store == "" {
		return usagef("address of the store is missing; give --store or set %sSTORE", flagenv.Prefix)
	}
	client, err := httpstore.New(httpstore.Config{BaseURL: o.store})
	if err != nil {
		return flagenv.UsageError{Err: err}
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
	defer cancel()
	return f(ctx, configStore{store: client})
}

// storedManifest is the manifest in the store; both versions are 0 if there is none.
type storedManifest struct {
	manifest      manifest.Manifest
	objectVersion uint64 // store's version of the object
}

// load reads the stored manifest without validating it, so that a manifest with faults can be replaced.
func (s configStore) load(ctx context.Context) (storedManifest, error) {
	object, err := s.store.Get(ctx, manifest.StoreKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return storedManifest{}, nil
	}
	if err != nil {
		return storedManifest{}, errors.Wrap(err, "read the stored manifest")
	}
	m, err := manifest.Decode(object.Value)
	if err != nil {
		return storedManifest{}, errors.Wrap(err, "stored manifest can't be read; have the platform restore the object "+manifest.StoreKey)
	}
	return storedManifest{manifest: m, objectVersion: object.Version}, nil
}

type applyResult struct {
	diffResult
	// ReadBack is set if the store's response was lost and reading back showed the change.
	ReadBack bool `json:"readBack"`
}

func (r applyResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "applied version %d\n", r.To)
	if r.ReadBack {
		fmt.Fprintln(w, "the store's answer was lost; reading back showed the change")
	}
	r.diffResult.writeText(w)
}

// replace stores next if base is still the stored manifest.
func (s configStore) replace(ctx context.Context, base storedManifest, next manifest.Manifest) (applyResult, error) {
	if err := manifest.CheckSuccessor(base.manifest.Version, next.Version, base.manifest.Version); err != nil {
		return applyResult{}, err
	}
	if err := next.Validate().Err(); err != nil {
		return applyResult{}, err
	}
	doc, err := next.Pack()
	if err != nil {
		return applyResult{}, err
	}
	readBack, err := s.put(ctx, doc, base)
	return applyResult{diffResult: newDiffResult(base.manifest, next), ReadBack: readBack}, err
}

// put writes doc on the condition that base is still stored. After a failure that leaves the outcome
// unknown it reads the object back, and retries only under the same condition, so that the put takes
// effect at most once.
func (s configStore) put(ctx context.Context, doc []byte, base storedManifest) (readBack bool, err error) {
	_, err = s.store.Put(ctx, manifest.StoreKey, doc, base.objectVersion)
	if err == nil || errors.Is(err, objectstore.ErrTooLarge) {
		return false, err
	}
	if errors.Is(err, objectstore.ErrConflict) {
		return false, s.conflictError(ctx, base)
	}
	for {
		object, getErr := s.store.Get(ctx, manifest.StoreKey)
		found := getErr == nil || errors.Is(getErr, objectstore.ErrNotFound)
		switch {
		case found && bytes.Equal(object.Value, doc):
			return true, nil
		case found && object.Version > base.objectVersion:
			return false, errors.Wrap(s.conflictError(ctx, base), "the store's answer was lost and another manifest is stored now, which may have replaced this one")
		case found:
			_, err = s.store.Put(ctx, manifest.StoreKey, doc, base.objectVersion)
			if err == nil {
				return true, nil
			}
		}
		if !wait.For(ctx, retryPause) {
			return false, errors.Wrap(err, "outcome of the change is unknown; run the same command again, which is safe")
		}
	}
}

// conflictError returns an error that names the version stored in the meantime.
func (s configStore) conflictError(ctx context.Context, base storedManifest) error {
	now, err := s.load(ctx)
	if err != nil {
		return objectstore.ErrConflict
	}
	return &manifest.ConflictError{Stored: now.manifest.Version, IfVersion: base.manifest.Version}
}

func newApply(o *options) *cobra.Command {
	var ifVersion uint64
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Store a manifest, if the version it was made from is still the stored one",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			next, err := readFile(cmd, args[0])
			if err != nil {
				return err
			}
			return o.updateManifest(cmd, func(base storedManifest) (manifest.Manifest, error) {
				return next, manifest.CheckSuccessor(base.manifest.Version, next.Version, ifVersion)
			})
		},
	}
	cmd.Flags().Uint64Var(&ifVersion, "if-version", 0, "version of the manifest that this one was made from, 0 for the first")
	_ = cmd.MarkFlagRequired("if-version")
	return cmd
}

// updateManifest reads the stored manifest, stores the successor that edit returns and prints the changes.
func (o *options) updateManifest(cmd *cobra.Command, edit func(storedManifest) (manifest.Manifest, error)) error {
	return o.withStore(cmd, func(ctx context.Context, s configStore) error {
		base, err := s.load(ctx)
		if err != nil {
			return err
		}
		next, err := edit(base)
		if err != nil {
			return err
		}
		result, err := s.replace(ctx, base, next)
		if err != nil {
			return err
		}
		return o.print(cmd.OutOrStdout(), result)
	})
}

// successor returns a copy of the stored manifest with the next version number, to be edited.
func (s storedManifest) successor() manifest.Manifest {
	next := s.manifest.Clone()
	next.Version++
	return next
}
