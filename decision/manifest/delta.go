package manifest

import (
	"encoding/hex"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrDeltaMismatch reports a delta that doesn't lead from the given manifest to the announced one.
var ErrDeltaMismatch = errors.New("delta does not lead to the announced manifest; fetch the whole document")

// Delta is the difference between a manifest and a later one. It identifies list items by name. A
// JSON patch (RFC 6902) identifies them by index and would need a library, which decision packages
// avoid.
type Delta struct {
	From uint64 `json:"from"` // version of the manifest that the delta applies to
	To   uint64 `json:"to"`
	// Digest is the hex digest of the whole resulting manifest.
	Digest    string              `json:"sum"`
	Databases ListDelta[Database] `json:"databases,omitzero"`
	Accounts  ListDelta[Account]  `json:"accounts,omitzero"`
	Routes    ListDelta[Route]    `json:"routes,omitzero"`
}

// ListDelta is a change of a list of named items. New items are appended.
type ListDelta[T any] struct {
	Removed []string `json:"gone,omitempty"`
	Put     []T      `json:"put,omitempty"` // new and changed items, complete
}

func databaseName(d Database) string { return d.Name }
func accountName(a Account) string   { return a.Name }
func routeName(r Route) string       { return r.Name }

// NewDelta returns the difference between two snapshots. It is false if items were reordered or
// inserted other than at the end, which a Delta can't express and operators seldom do.
func NewDelta(from, to *Snapshot) (Delta, bool) {
	d := Delta{From: from.Version(), To: to.Version(), Digest: hex.EncodeToString(to.digest[:])}
	a, b := from.manifest, to.manifest
	var databasesOK, accountsOK, routesOK bool
	d.Databases, databasesOK = diffList(a.Databases, b.Databases, databaseName)
	d.Accounts, accountsOK = diffList(a.Accounts, b.Accounts, accountName)
	d.Routes, routesOK = diffList(a.Routes, b.Routes, routeName)
	return d, databasesOK && accountsOK && routesOK
}

func diffList[T any](from, to []T, name func(T) string) (ListDelta[T], bool) {
	var d ListDelta[T]
	before := make(map[string]int, len(from))
	for i, item := range from {
		before[name(item)] = i
	}
	for _, item := range to {
		i, existed := before[name(item)]
		delete(before, name(item))
		if !existed || !reflect.DeepEqual(from[i], item) {
			d.Put = append(d.Put, item)
		}
	}
	d.Removed = sortedKeys(before)
	sameName := func(a, b T) bool { return name(a) == name(b) }
	return d, slices.EqualFunc(d.apply(from, name), to, sameName)
}

func (d ListDelta[T]) apply(from []T, name func(T) string) []T {
	if len(d.Removed)+len(d.Put) == 0 {
		return from
	}
	changes := make(map[string]*T, len(d.Removed)+len(d.Put)) // nil: removed
	for _, removed := range d.Removed {
		changes[removed] = nil
	}
	for i := range d.Put {
		changes[name(d.Put[i])] = &d.Put[i]
	}
	out := make([]T, 0, len(from)+len(d.Put))
	for _, item := range from {
		replacement, changed := changes[name(item)]
		delete(changes, name(item))
		if changed && replacement == nil {
			continue
		}
		if changed {
			item = *replacement
		}
		out = append(out, item)
	}
	for _, item := range d.Put {
		if changes[name(item)] != nil {
			out = append(out, item)
		}
	}
	return out
}

// Apply applies encoded deltas in order and returns the resulting snapshot. The result is checked
// against the digest of the whole manifest; the error is ErrDeltaMismatch.
func (s *Snapshot) Apply(encoded [][]byte) (*Snapshot, error) {
	m, digest := s.manifest, ""
	for _, doc := range encoded {
		var d Delta
		if err := json.Unmarshal(doc, &d); err != nil {
			return nil, errors.Wrap(ErrDeltaMismatch, err.Error())
		}
		if d.From != m.Version || d.To <= d.From {
			return nil, errors.Wrapf(ErrDeltaMismatch, "from version %d to %d, applied to version %d", d.From, d.To, m.Version)
		}
		m.Version, digest = d.To, d.Digest
		m.Databases = d.Databases.apply(m.Databases, databaseName)
		m.Accounts = d.Accounts.apply(m.Accounts, accountName)
		m.Routes = d.Routes.apply(m.Routes, routeName)
	}
	next, err := NewSnapshot(m)
	if err != nil {
		return nil, errors.Wrap(ErrDeltaMismatch, err.Error())
	}
	if hex.EncodeToString(next.digest[:]) != digest {
		return nil, errors.Wrapf(ErrDeltaMismatch, "version %d", m.Version)
	}
	return next, nil
}

const (
	// maxDeltas bounds the history: with a change every 16 s it covers 17 minutes.
	maxDeltas = 64
	// maxDeltaBytes bounds the size of the history, and so of what a peer receives instead of a document.
	maxDeltaBytes = 64 << 10
)

// DeltaHistory holds the encoded deltas between the most recent manifests in force. Its methods
// don't modify data that a copy of it shares. It is not safe for concurrent use.
type DeltaHistory struct {
	fromVersions []uint64 // version that each delta applies to
	encoded      [][]byte
	encodedBytes int
	toVersion    uint64 // version in force
}

// Add records the replacement of one manifest by another.
func (h *DeltaHistory) Add(from, to *Snapshot) {
	d, ok := NewDelta(from, to)
	doc, err := json.Marshal(d)
	if !ok || err != nil || h.toVersion != from.Version() {
		*h = DeltaHistory{}
	}
	h.toVersion = to.Version()
	if !ok || err != nil {
		return
	}
	h.fromVersions, h.encoded = slices.Concat(h.fromVersions, []uint64{d.From}), slices.Concat(h.encoded, [][]byte{doc})
	h.encodedBytes += len(doc)
	for len(h.encoded) > maxDeltas || h.encodedBytes > maxDeltaBytes {
		h.encodedBytes -= len(h.encoded[0])
		h.fromVersions, h.encoded = h.fromVersions[1:], h.encoded[1:]
	}
}

// Between returns the encoded deltas from one version to another, in order. It is false if to is
// not the version in force, or if the history does not reach back to from.
func (h *DeltaHistory) Between(from, to uint64) ([][]byte, bool) {
	i := slices.Index(h.fromVersions, from)
	if i < 0 || h.toVersion != to {
		return nil, false
	}
	return h.encoded[i:], true
}
