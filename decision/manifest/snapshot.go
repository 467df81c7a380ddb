package manifest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
)

// KeyHash is the SHA-256 of a key.
type KeyHash [sha256.Size]byte

// HashKey returns the sum of a key as a caller presents it.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// String renders the sum as a manifest holds it.
func (s KeyHash) String() string {
	return hex.EncodeToString(s[:])
}

// Snapshot is a valid manifest with defaults and indexes. It never changes and is safe for
// concurrent use.
type Snapshot struct {
	manifest  Manifest
	digest    [sha256.Size]byte
	routes    map[string]int
	accounts  map[string]int
	keyHashes map[string][]KeyHash // by account, in the order of its keys
}

// NewSnapshot validates m; the error is Faults.
func NewSnapshot(m Manifest) (*Snapshot, error) {
	if err := m.Validate().Err(); err != nil {
		return nil, err
	}
	m = m.WithDefaults()
	s := &Snapshot{
		manifest:  m,
		digest:    m.Digest(),
		routes:    make(map[string]int, len(m.Routes)),
		accounts:  make(map[string]int, len(m.Accounts)),
		keyHashes: make(map[string][]KeyHash, len(m.Accounts)),
	}
	for i, r := range m.Routes {
		s.routes[r.Name] = i
	}
	for i, a := range m.Accounts {
		s.accounts[a.Name] = i
		s.keyHashes[a.Name] = decodeHashes(a.Keys)
	}
	return s, nil
}

func decodeHashes(keys []Key) []KeyHash {
	sums := make([]KeyHash, len(keys))
	for i, k := range keys {
		_, _ = hex.Decode(sums[i][:], []byte(k.SHA256)) // Validate has checked the format
	}
	return sums
}

// Version is the manifest's version.
func (s *Snapshot) Version() uint64 {
	return s.manifest.Version
}

// Manifest returns the manifest with defaults. The caller must not change it.
func (s *Snapshot) Manifest() Manifest {
	return s.manifest
}

// Route finds a route by name.
func (s *Snapshot) Route(name string) (Route, bool) {
	i, ok := s.routes[name]
	if !ok {
		return Route{}, false
	}
	return s.manifest.Routes[i], true
}

// Account finds a client account by name.
func (s *Snapshot) Account(name string) (Account, bool) {
	i, ok := s.accounts[name]
	if !ok {
		return Account{}, false
	}
	return s.manifest.Accounts[i], true
}

// FindKey finds the key of account that has this sum. The time it takes depends on the number
// of the account's keys, not on how much of a sum matches.
func (s *Snapshot) FindKey(account string, sum KeyHash) (Key, bool) {
	found := -1
	for i, candidate := range s.keyHashes[account] {
		equal := subtle.ConstantTimeCompare(candidate[:], sum[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return Key{}, false
	}
	return s.manifest.Accounts[s.accounts[account]].Keys[found], true
}

// Grant is a right to use a route that a caller has proven. On a route open to all, Account and
// KeyID are empty and Sum is zero.
type Grant struct {
	Route    string
	Database string
	Account  string
	KeyID    string
	KeyHash  KeyHash
}

// Keyed reports whether the grant rests on a key.
func (g Grant) Keyed() bool {
	return g.KeyID != ""
}

// Refusal tells why there is no grant.
type Refusal int

const (
	Granted Refusal = iota
	UnknownRoute
	WrongKey   // the account is unknown or the key is none of its keys
	NotOnRoute // the key is right, but the account may not use the route
)

// Authorize checks a caller's right to a route; account and sum are ignored on open routes.
func (s *Snapshot) Authorize(route, account string, sum KeyHash) (Grant, Refusal) {
	r, ok := s.Route(route)
	if !ok {
		return Grant{}, UnknownRoute
	}
	if r.Open {
		return Grant{Route: r.Name, Database: r.Database}, Granted
	}
	key, ok := s.FindKey(account, sum)
	if !ok {
		return Grant{}, WrongKey
	}
	if !slices.Contains(r.Accounts, account) {
		return Grant{}, NotOnRoute
	}
	return Grant{Route: r.Name, Database: r.Database, Account: account, KeyID: key.ID, KeyHash: sum}, Granted
}

// StillGrants reports whether a grant of an earlier snapshot is still given. A grant ends when its
// key, account, route or right to the route goes, and when the route leads to another database.
func (s *Snapshot) StillGrants(g Grant) bool {
	now, refusal := s.Authorize(g.Route, g.Account, g.KeyHash)
	return refusal == Granted && now == g
}

// Hash returns the key's hash as a value to compare, zero if it is not valid.
func (k Key) Hash() KeyHash {
	var sum KeyHash
	if _, err := hex.Decode(sum[:], []byte(k.SHA256)); err != nil {
		return KeyHash{}
	}
	return sum
}
