package manifest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
)

// KeyHash is the SHA-256 of a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key that a caller presents.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// String formats the hash as in a manifest.
func (h KeyHash) String() string {
	return hex.EncodeToString(h[:])
}

// Snapshot is a valid manifest with defaults and indexes. It is immutable and safe for concurrent
// use.
type Snapshot struct {
	manifest  Manifest
	digest    [sha256.Size]byte
	routes    map[string]int
	accounts  map[string]int
	keyHashes map[string][]KeyHash // by account name, in the order of its keys
}

// NewSnapshot validates and indexes m. The error is of type Faults.
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
	hashes := make([]KeyHash, len(keys))
	for i, k := range keys {
		_, _ = hex.Decode(hashes[i][:], []byte(k.SHA256)) // Validate has checked the format
	}
	return hashes
}

// Version returns the manifest's version.
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

// FindKey finds the key of an account by its hash. The time it takes depends on the number of the
// account's keys, not on how much of a hash matches.
func (s *Snapshot) FindKey(account string, hash KeyHash) (Key, bool) {
	found := -1
	for i, candidate := range s.keyHashes[account] {
		equal := subtle.ConstantTimeCompare(candidate[:], hash[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return Key{}, false
	}
	return s.manifest.Accounts[s.accounts[account]].Keys[found], true
}

// Grant is a caller's proven right to use a route. On an open route, Account and KeyID are empty
// and KeyHash is zero.
type Grant struct {
	Route    string
	Database string
	Account  string
	KeyID    string
	KeyHash  KeyHash
}

// Keyed reports whether the grant is based on a key.
func (g Grant) Keyed() bool {
	return g.KeyID != ""
}

// Refusal is the reason why Authorize refused a grant.
type Refusal int

const (
	Granted Refusal = iota
	UnknownRoute
	WrongKey   // the account is unknown or the key is not one of its keys
	NotOnRoute // the key is valid, but the account may not use the route
)

// Authorize checks a caller's right to use a route. It ignores account and hash on open routes.
func (s *Snapshot) Authorize(route, account string, hash KeyHash) (Grant, Refusal) {
	r, ok := s.Route(route)
	if !ok {
		return Grant{}, UnknownRoute
	}
	if r.Open {
		return Grant{Route: r.Name, Database: r.Database}, Granted
	}
	key, ok := s.FindKey(account, hash)
	if !ok {
		return Grant{}, WrongKey
	}
	if !slices.Contains(r.Accounts, account) {
		return Grant{}, NotOnRoute
	}
	return Grant{Route: r.Name, Database: r.Database, Account: account, KeyID: key.ID, KeyHash: hash}, Granted
}

// StillGrants reports whether a grant of an earlier snapshot is still valid. A grant ends when its
// key, account, route or right to the route is removed, and when the route changes its database.
func (s *Snapshot) StillGrants(g Grant) bool {
	current, refusal := s.Authorize(g.Route, g.Account, g.KeyHash)
	return refusal == Granted && current == g
}

// Hash returns the key's decoded hash, or the zero value if it is not valid.
func (k Key) Hash() KeyHash {
	var hash KeyHash
	if _, err := hex.Decode(hash[:], []byte(k.SHA256)); err != nil {
		return KeyHash{}
	}
	return hash
}
