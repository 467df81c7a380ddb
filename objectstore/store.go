// Package objectstore defines the interfaces to the platform's object store and to its list of
// instances.
package objectstore

import (
	"context"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Object is one value in the store. Version is the store-wide version of its last change (package
// storeversion); it increases, also when the store comes back from a copy, and 0 denotes an absent object.
type Object struct {
	Key     string
	Value   []byte
	Version uint64
	Deleted bool // only in changes returned by Watch
}

// Errors of a Store. After any other error, such as a timeout, a Put may or may not have taken
// effect: read the object back to find out.
var (
	// ErrNotFound: there is no object at the key.
	ErrNotFound = errors.New("object not found in the store; check the key")
	// ErrConflict: the object's version differs from ifVersion.
	ErrConflict = errors.New("object was changed by another writer; read it again and repeat the change on top of it")
	// ErrTooLarge: the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value exceeds 1 MiB; split it into several objects")
)

// Store is the platform's object store.
type Store interface {
	// Get returns the object at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version is ifVersion (0: the object must be absent) and
	// returns the new version, or ErrConflict.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	// Delete removes the object if its version is ifVersion, or returns ErrConflict.
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// List returns the objects whose key begins with prefix, in key order, and the store's
	// revision at that moment.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Watch waits until an object under prefix has a version above after. When the store's own
	// limit or the time left in ctx ends the wait, it returns no change and no error. If the
	// store does not respond before ctx ends, it returns an error, so that a nil error always
	// means contact with the store. The second result is the revision to continue from.
	Watch(ctx context.Context, prefix string, after uint64) ([]Object, uint64, error)
}

// Instance is one entry of the platform's list of instances.
type Instance struct {
	ID            string `json:"id"`
	PeerAddress   string `json:"peerAddress"` // IP:port of its drpc listener
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	Leaving       bool   `json:"leaving"`
	// Earlier holds the peer addresses, separated by blanks, at which processes of the same name may still run.
	Earlier string `json:"earlier,omitempty"`
	// Lost: others have not reached it for long and remove its entry soon, unless it registers again.
	Lost bool `json:"lost,omitempty"`
	// Capacity is zero if it is unknown.
	Capacity Capacity `json:"capacity,omitzero"`
}

// Capacity is what an instance's machine offers.
type Capacity struct {
	ProcessorShare float64 `json:"processorShare"` // of one core
	LinkMbps       float64 `json:"linkMbps"`
}

// InstanceList is the platform's list of instances. It is eventually consistent: it may include
// instances that no longer run and miss new ones.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}
