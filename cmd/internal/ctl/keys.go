package ctl

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
)

const (
	keyBytes = 32 // 256 random bits
	// idHashDigits is the length of the hash prefix that makes a default key id unique within an account.
	idHashDigits = 8
)

type newKeyResult struct {
	Key   string       `json:"key"`
	Entry manifest.Key `json:"entry"`
}

func (r newKeyResult) writeText(w io.Writer) {
	fmt.Fprintln(w, "key, shown only this time; give it to the client account:")
	fmt.Fprintln(w, r.Key)
	fmt.Fprintln(w, "entry for the account's keys in the manifest:")
	fmt.Fprintf(w, "  - id: %s\n    sha256: %s\n", r.Entry.ID, r.Entry.SHA256)
}

func newKeys(o *options) *cobra.Command {
	cmd := Group(&cobra.Command{Use: "keys", Short: "Make and withdraw keys of client accounts"})
	cmd.AddCommand(newKeysNew(o), newKeysWithdraw(o))
	return cmd
}

func newKeysNew(o *options) *cobra.Command {
	var account, id string
	cmd := &cobra.Command{
		Use:   "new",
		Short: "Print a random key and the entry with its hash; nothing is stored",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.print(cmd.OutOrStdout(), generateKey(account, id))
		},
	}
	cmd.Flags().StringVar(&account, "account", "", "client account that the key is for")
	cmd.Flags().StringVar(&id, "id", "", "id of the key; default: the account and the begin of the hash")
	_ = cmd.MarkFlagRequired("account")
	return cmd
}

func generateKey(account, id string) newKeyResult {
	var secret [keyBytes]byte
	_, _ = rand.Read(secret[:]) // never returns an error, see crypto/rand
	key := base64.RawURLEncoding.EncodeToString(secret[:])
	hash := manifest.HashKey(key).String()
	if id == "" {
		id = account + "-" + hash[:idHashDigits]
	}
	return newKeyResult{Key: key, Entry: manifest.Key{ID: id, SHA256: hash}}
}

func newKeysWithdraw(o *options) *cobra.Command {
	var account, id string
	cmd := &cobra.Command{
		Use:   "withdraw",
		Short: "Remove a key from the stored manifest; it stops working within seconds",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.updateManifest(cmd, func(base storedManifest) (manifest.Manifest, error) {
				return withoutKey(base, account, id)
			})
		},
	}
	cmd.Flags().StringVar(&account, "account", "", "client account of the key")
	cmd.Flags().StringVar(&id, "id", "", "id of the key")
	_ = cmd.MarkFlagRequired("account")
	_ = cmd.MarkFlagRequired("id")
	return cmd
}

func withoutKey(base storedManifest, account, id string) (manifest.Manifest, error) {
	next := base.successor()
	for i := range next.Accounts {
		a := &next.Accounts[i]
		at := slices.IndexFunc(a.Keys, func(k manifest.Key) bool { return k.ID == id })
		if a.Name == account && at >= 0 {
			a.Keys = slices.Delete(a.Keys, at, at+1)
			return next, nil
		}
	}
	return next, errors.Wrapf(objectstore.ErrNotFound, "account %q has no key %q in the stored manifest", account, id)
}
