package manifest

import (
	"encoding/hex"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrDeltaMismatch reports a difference that doesn't lead from the given manifest to the announced one.
var ErrDeltaMismatch = errors.New("difference does not lead to the announced manifest; fetch the whole document")

// Delta leads from one manifest to a later one. A JSON patch (RFC 6902) names items of lists by index
// and would need a library, which a decision package does without; this form names them.
type Delta struct {
	From uint64 `json:"from"` // version
	To   uint64 `json:"to"`
	// Digest is the hex digest of the whole manifest that it leads to.
	Digest    string              `json:"sum"`
	Databases ListDelta[Database] `json:"databases,omitzero"`
	Accounts  ListDelta[Account]  `json:"accounts,omitzero"`
	Routes    ListDelta[Route]    `json:"routes,omitzero"`
}

// ListDelta changes a list of named items: new ones come to its end.
type ListDelta[T any] struct {
	Removed []string `json:"gone,omitempty"`
	Put     []T      `json:"put,omitempty"` // new and changed items, whole
}

func databaseName(d Database) string { return d.Name }
func accountName(a Account) string   { return a.Name }
func routeName(r Route) string       { return r.Name }

// NewDelta returns the difference between two snapshots. It is false where the order of items changed
// otherwise than by items that went or came at the end, which operators seldom do.
func NewDelta(from, to *Snapshot) (Delta, bool) {
	d := Delta{From: from.Version(), To: to.Version(), Digest: hex.EncodeToString(to.digest[:])}
	a, b := from.manifest, to.manifest
	var databases, accounts, routes bool
	d.Databases, databases = diffList(a.Databases, b.Databases, databaseName)
	d.Accounts, accounts = diffList(a.Accounts, b.Accounts, accountName)
	d.Routes, routes = diffList(a.Routes, b.Routes, routeName)
	return d, databases && accounts && routes
}

func diffList[T any](from, to []T, name func(T) string) (ListDelta[T], bool) {
	var d ListDelta[T]
	before := make(map[string]int, len(from))
	for i, item := range from {
		before[name(item)] = i
	}
	for _, item := range to {
		i, had := before[name(item)]
		delete(before, name(item))
		if !had || !reflect.DeepEqual(from[i], item) {
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
	next := make(map[string]*T, len(d.Removed)+len(d.Put)) // nil: gone
	for _, gone := range d.Removed {
		next[gone] = nil
	}
	for i := range d.Put {
		next[name(d.Put[i])] = &d.Put[i]
	}
	out := make([]T, 0, len(from)+len(d.Put))
	for _, item := range from {
		now, changed := next[name(item)]
		delete(next, name(item))
		if changed && now == nil {
			continue
		}
		if changed {
			item = *now
		}
		out = append(out, item)
	}
	for _, item := range d.Put {
		if next[name(item)] != nil {
			out = append(out, item)
		}
	}
	return out
}

// Apply returns the snapshot to which encoded differences lead, one after another. The result is checked
// against the digest of the whole manifest; the error is ErrDeltaMismatch.
func (s *Snapshot) Apply(encoded [][]byte) (*Snapshot, error) {
	m, sum := s.manifest, ""
	for _, doc := range encoded {
		var d Delta
		if err := json.Unmarshal(doc, &d); err != nil {
			return nil, errors.Wrap(ErrDeltaMismatch, err.Error())
		}
		if d.From != m.Version || d.To <= d.From {
			return nil, errors.Wrapf(ErrDeltaMismatch, "from version %d to %d, applied to version %d", d.From, d.To, m.Version)
		}
		m.Version, sum = d.To, d.Digest
		m.Databases = d.Databases.apply(m.Databases, databaseName)
		m.Accounts = d.Accounts.apply(m.Accounts, accountName)
		m.Routes = d.Routes.apply(m.Routes, routeName)
	}
	next, err := NewSnapshot(m)
	if err != nil {
		return nil, errors.Wrap(ErrDeltaMismatch, err.Error())
	}
	if hex.EncodeToString(next.digest[:]) != sum {
		return nil, errors.Wrapf(ErrDeltaMismatch, "version %d", m.Version)
	}
	return next, nil
}

const (
	// maxDeltas bounds the history: at a change every 16 s it reaches back 17 minutes.
	maxDeltas = 64
	// maxDeltaBytes bounds what the history holds, and so what a peer gets in place of a document.
	maxDeltaBytes = 64 << 10
)

// DeltaHistory keeps the differences between the last manifests in force, encoded. Its methods change
// nothing that a copy shares. It is not safe for concurrent use.
type DeltaHistory struct {
	fromVersions []uint64 // versions from which the differences lead
	encoded      [][]byte
	encodedBytes int
	toVersion    uint64 // version in force
}

// Add records that one manifest replaced another.
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

// Between returns the encoded differences that lead from one version to another, which is the last one,
// in order. It is false if the history does not hold all of them.
func (h *DeltaHistory) Between(from, to uint64) ([][]byte, bool) {
	i := slices.Index(h.fromVersions, from)
	if i < 0 || h.toVersion != to {
		return nil, false
	}
	return h.encoded[i:], true
}
