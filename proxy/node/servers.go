package node

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/evacuation"
	"github.com/cyclamenstile/cyclamenstile/decision/restored"
	"github.com/cyclamenstile/cyclamenstile/decision/storeversion"
	"github.com/cyclamenstile/cyclamenstile/platform"
)

// entriesReturnPeriod is a little longer than the time after the store's return in which entries of live servers are back.
const entriesReturnPeriod = 2500 * time.Millisecond

// serverFreshness records as of when the entries of the servers are known to be the newest. A replaced primary is seen
// there, so that the age of the configuration does not tell whether one was missed.
type serverFreshness struct {
	mu        sync.Mutex
	freshness catalog.Freshness
	// firstConfirmedAt is when the entries were first known to be the newest; 0 before.
	firstConfirmedAt time.Duration
}

func (f *serverFreshness) confirm(now, asOf time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freshness.Confirm(asOf)
	f.firstConfirmedAt = cmp.Or(f.firstConfirmedAt, now)
}

// isComplete reports whether this instance has known the entries for so long that those which had expired while the store was down are
// back. An entry that is removed later is kept for a while, see placement.Group.
func (f *serverFreshness) isComplete(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.firstConfirmedAt != 0 && now-f.firstConfirmedAt >= entriesReturnPeriod
}

func (f *serverFreshness) age(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshness.Age(now)
}

// serverRegistry holds the entries of all registered servers, marked if their failure domains are evacuated.
type serverRegistry struct {
	log     logrus.FieldLogger
	now     func() time.Duration
	regions map[string]string
	publish func([]discovery.Server)

	mu                sync.Mutex
	entries           *restored.Entries[discovery.Server]
	evacuated         evacuation.Set
	awaitsEvacuations bool // publish nothing before the evacuations are known
}

func newServerRegistry(log logrus.FieldLogger, now func() time.Duration, regions map[string]string, publish func([]discovery.Server)) *serverRegistry {
	return &serverRegistry{log: log, now: now, regions: regions, entries: restored.NewEntries[discovery.Server](), publish: publish}
}

// stateOf orders the entries that one server has written.
func stateOf(s discovery.Server) restored.State {
	return restored.State{Run: s.Started, Count: int64(s.Sequence)}
}

func (r *serverRegistry) replaceAll(list objectList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.entries.Current()
	var listing restored.Listing[discovery.Server]
	for _, o := range list.objects {
		if s, ok := r.decode(o, previous); ok {
			listing.Add(o.Name, s, stateOf(s))
		}
	}
	r.entries.Replace(r.now(), listing, list.restored)
	if list.restored {
		kept, hidden := r.entries.Exceptions()
		event(r.log, EventEntriesKept).WithFields(logrus.Fields{"kept": kept, "hidden": hidden, "era": storeversion.Era(list.version)}).
			Warn("server entries from before the restore stay in use until their servers write them again")
	}
	r.publishAll()
}

func (r *serverRegistry) applyChanges(changes []platform.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.entries.Current()
	for _, o := range changes {
		if o.Deleted {
			r.entries.Remove(r.now(), o.Name)
			event(r.log, EventServerChanged).WithField("server", o.Name).Info("server entry was deleted")
			continue
		}
		if s, ok := r.decode(o, previous); ok {
			r.entries.Put(o.Name, s, stateOf(s))
		} else {
			r.entries.Remove(r.now(), o.Name)
		}
	}
	r.publishAll()
}

// expire ends the use of entries that a restored store has lost.
func (r *serverRegistry) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries.Expire(r.now()) {
		r.publishAll()
	}
}

// decode decodes one entry and logs whether it differs from the previous one. An invalid entry is ignored and removes the
// earlier one of the same name.
func (r *serverRegistry) decode(o platform.Object, previous map[string]discovery.Server) (discovery.Server, bool) {
	s, err := platform.DecodeServer(o, r.regions)
	if err != nil {
		event(r.log, EventServerIgnored).WithField("server", o.Name).WithError(err).Warn("ignored an invalid server entry")
		return s, false
	}
	old, known := previous[o.Name]
	if !known || old.Leaving != s.Leaving || old.Primary != s.Primary || old.Started != s.Started || old.Address != s.Address {
		event(r.log, EventServerChanged).WithFields(logrus.Fields{
			"server": s.ID, "database": s.Database, "primary": s.Primary, "leaving": s.Leaving,
			"failure_domain": s.FailureDomain, "revision": s.Revision,
		}).Info("server entry has changed")
	}
	return s, true
}

// evacuate replaces the evacuated failure domains. Servers are published from the first call on.
func (r *serverRegistry) evacuate(set evacuation.Set) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated, r.awaitsEvacuations = set, false
	r.publishAll()
}

// publishAll publishes the entries. mu must be held, so that later entries are published later.
func (r *serverRegistry) publishAll() {
	if r.awaitsEvacuations {
		return
	}
	servers := slices.Collect(maps.Values(r.entries.Current()))
	for i := range servers {
		servers[i].Evacuated = r.evacuated.Contains(servers[i].FailureDomain)
	}
	r.publish(servers)
}
