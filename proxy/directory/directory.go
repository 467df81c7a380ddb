package directory

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// notReadyRetryAfter is the retry delay sent to callers while keys can't be verified: contact is
// usually restored by the next watch or gossip round.
const notReadyRetryAfter = time.Second

// keyedNotAllowed is the value of keyedUntil while keyed work is not allowed.
const keyedNotAllowed = math.MinInt64

// Directory implements engine.Directory. It is safe for concurrent use.
type Directory struct {
	cfg    Config
	jitter *jitter

	// adoptMu serializes adoptions, so that OnAdopt is called in their order.
	adoptMu sync.Mutex

	// mu guards the fields up to grants. It is held only briefly and never during a call to the store.
	mu       sync.Mutex
	adoption *manifest.Adoption
	document []byte // of the manifest in force, as it was offered; nil if it was adopted from deltas
	deltas   manifest.DeltaHistory
	// listedInstances is the number of listed instances including this one, or referenceInstances until
	// the list is known.
	listedInstances int
	grants          map[manifest.Grant]chan struct{}

	// current and keyedUntil are read on the statement path without a lock.
	current    atomic.Pointer[manifest.Snapshot]
	keyedUntil atomic.Int64 // nanoseconds on the clock of Config.Now, or keyedNotAllowed

	reportRequested chan struct{} // signals the status loop
}

var _ engine.Directory = (*Directory)(nil)

// New returns a directory without a manifest. Run and Offer adopt manifests.
func New(cfg Config) (*Directory, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	d := &Directory{
		cfg:      cfg,
		jitter:   &jitter{rand: cfg.Rand},
		adoption: manifest.NewAdoption(manifest.AdoptionConfig{Self: cfg.MemberID, ContactTimeout: cfg.ContactTimeout}),
		grants:   map[manifest.Grant]chan struct{}{},

		listedInstances: referenceInstances,
		reportRequested: make(chan struct{}, 1),
	}
	d.keyedUntil.Store(keyedNotAllowed)
	return d, nil
}

// Run watches the store and reports the status until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { d.watchStore(ctx) })
	loops.Go(func() { d.reportStatus(ctx) })
	loops.Wait()
}

// Snapshot returns the manifest in force, or nil.
func (d *Directory) Snapshot() *manifest.Snapshot {
	return d.current.Load()
}

// NeedsKey implements engine.Directory.
func (d *Directory) NeedsKey(route string) (bool, error) {
	snapshot := d.current.Load()
	if snapshot == nil {
		return false, errNoManifest()
	}
	r, ok := snapshot.Route(route)
	if !ok {
		return false, refusalError(manifest.UnknownRoute)
	}
	return !r.Open, nil
}

// Authenticate implements engine.Directory.
func (d *Directory) Authenticate(route, account, key string) (engine.Login, error) {
	needsKey, err := d.NeedsKey(route)
	if err != nil {
		return engine.Login{}, err
	}
	// A key that is unknown here may have been added recently, so contact is checked before the key.
	if needsKey && !d.keyedAllowed() {
		return engine.Login{}, errNoContact()
	}
	sum := manifest.HashKey(key)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loginLocked(route, account, sum)
}

// loginLocked authorizes and registers a login under one lock, so that no adoption comes in between.
func (d *Directory) loginLocked(route, account string, sum manifest.KeyHash) (engine.Login, error) {
	snapshot := d.adoption.Current()
	grant, refusal := snapshot.Authorize(route, account, sum)
	if refusal != manifest.Granted {
		return engine.Login{}, refusalError(refusal)
	}
	withdrawn, ok := d.grants[grant]
	if !ok {
		withdrawn = make(chan struct{})
		d.grants[grant] = withdrawn
	}
	login := engine.Login{KeyID: grant.KeyID, Version: snapshot.Version(), Withdrawn: withdrawn}
	login.Route, _ = snapshot.Route(grant.Route)
	login.Account, _ = snapshot.Account(grant.Account)
	return login, nil
}

// Check implements engine.Directory.
func (d *Directory) Check(l engine.Login) error {
	select {
	case <-l.Withdrawn:
		return errWithdrawn()
	default:
	}
	if l.KeyID != "" && !d.keyedAllowed() {
		return errNoContact()
	}
	return nil
}

// Refresh implements engine.Directory. It costs one comparison while the manifest stays the same.
func (d *Directory) Refresh(l *engine.Login) {
	snapshot := d.current.Load()
	if snapshot == nil || snapshot.Version() == l.Version {
		return
	}
	route, ok := snapshot.Route(l.Route.Name)
	if !ok || route.Database != l.Route.Database {
		return
	}
	if l.KeyID != "" {
		account, ok := snapshot.Account(l.Account.Name)
		if !ok {
			return
		}
		l.Account = account
	}
	l.Route, l.Version = route, snapshot.Version()
}

// Database implements engine.Directory.
func (d *Directory) Database(name string) (engine.Database, error) {
	return d.cfg.Database(name)
}

func (d *Directory) keyedAllowed() bool {
	return int64(d.cfg.Now()) <= d.keyedUntil.Load()
}

func refusalError(refusal manifest.Refusal) error {
	switch refusal {
	case manifest.UnknownRoute:
		return outcome.New(outcome.Denied, outcome.CodeUndefinedDatabase,
			"the route does not exist", "connect with the name of a configured route as the database")
	case manifest.NotOnRoute:
		return outcome.New(outcome.Denied, outcome.CodeInvalidAuthorization,
			"the client account may not use this route", "ask the operator to add the account to the route")
	}
	return outcome.New(outcome.Denied, outcome.CodeInvalidPassword,
		"client account or key is wrong", "check the user name and the key given as the password")
}

func errWithdrawn() error {
	return outcome.New(outcome.Denied, outcome.CodeInvalidAuthorization,
		"the key, the client account or its right to the route was withdrawn", "connect again with a valid key")
}

func errNoManifest() error {
	return outcome.New(outcome.NotRun, outcome.CodeCannotConnectNow,
		"this instance has no configuration yet", "connect again").WithRetryAfter(notReadyRetryAfter)
}

func errNoContact() error {
	return outcome.New(outcome.NotRun, outcome.CodeCannotConnectNow,
		"this instance can't verify keys, since it reaches neither the store nor its peers",
		"connect again to reach another instance").WithRetryAfter(notReadyRetryAfter)
}
