// Package storeversion orders the states of an object store that may come back from a copy.
//
// A revision is given out again after such a restore, so it does not identify a state by itself. The store counts its
// restores as eras. A version holds both in one number, the era above the revision: a version of a later era is higher than
// every version of an earlier one, whatever their revisions. In era 0, which is that of a store without eras, a version
// equals its revision.
package storeversion

import "github.com/cockroachdb/errors"

// revisionBits is the number of bits of the revision. With 44 bits, 100,000 changes a second last for five years, and 512 eras
// stay below 2^53, up to which numbers are exact in JSON.
const revisionBits = 44

const (
	// MaxRevision is the highest revision that a version can hold.
	MaxRevision = 1<<revisionBits - 1
	// MaxEra is the highest era that a version can hold.
	MaxEra = 1<<(64-revisionBits) - 1
)

// ErrTooHigh is returned for an era or a revision that a version can't hold.
var ErrTooHigh = errors.New("era or revision of the store is too high; check that the address is that of the store")

// New returns the version of a revision in an era. Revision 0, which stands for an absent object, has version 0 in every era.
func New(era, revision uint64) (uint64, error) {
	if era > MaxEra || revision > MaxRevision {
		return 0, errors.Wrapf(ErrTooHigh, "era %d, revision %d", era, revision)
	}
	if revision == 0 {
		return 0, nil
	}
	return era<<revisionBits | revision, nil
}

// Era returns the era of a version.
func Era(version uint64) uint64 {
	return version >> revisionBits
}

// Revision returns the revision of a version within its era.
func Revision(version uint64) uint64 {
	return version & MaxRevision
}
