package node

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/platform"
)

// serverFreshness records as of when the entries of the servers are known to be the newest. A replaced primary is seen
// there, so that the age of the configuration does not tell whether one was missed.
type serverFreshness struct {
	mu        sync.Mutex
	freshness catalog.Freshness
}

func (f *serverFreshness) confirm(asOf time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freshness.Confirm(asOf)
}

func (f *serverFreshness) age(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshness.Age(now)
}

// serverRegistry holds the entries of all registered servers. It is used by a single goroutine.
type serverRegistry struct {
	log     logrus.FieldLogger
	regions map[string]string
	entries map[string]discovery.Server
	publish func([]discovery.Server)
}

func (r *serverRegistry) replaceAll(objects []platform.Object) {
	previous := r.entries
	r.entries = make(map[string]discovery.Server, len(objects))
	for _, o := range objects {
		r.applyEntry(o, previous)
	}
	r.publishAll()
}

func (r *serverRegistry) applyChanges(changes []platform.Object) {
	for _, o := range changes {
		if o.Deleted {
			delete(r.entries, o.Name)
			event(r.log, EventServerChanged).WithField("server", o.Name).Info("server entry was deleted")
			continue
		}
		r.applyEntry(o, r.entries)
	}
	r.publishAll()
}

// applyEntry decodes and stores one entry. An invalid entry is ignored and removes the earlier one of the same name.
func (r *serverRegistry) applyEntry(o platform.Object, previous map[string]discovery.Server) {
	s, err := platform.DecodeServer(o, r.regions)
	if err != nil {
		delete(r.entries, o.Name)
		event(r.log, EventServerIgnored).WithField("server", o.Name).WithError(err).Warn("ignored an invalid server entry")
		return
	}
	old, known := previous[o.Name]
	if !known || old.Leaving != s.Leaving || old.Primary != s.Primary || old.Started != s.Started || old.Address != s.Address {
		event(r.log, EventServerChanged).WithFields(logrus.Fields{
			"server": s.ID, "database": s.Database, "primary": s.Primary, "leaving": s.Leaving,
			"failure_domain": s.FailureDomain, "revision": s.Revision,
		}).Info("server entry has changed")
	}
	r.entries[o.Name] = s
}

func (r *serverRegistry) publishAll() {
	out := make([]discovery.Server, 0, len(r.entries))
	for _, s := range r.entries {
		out = append(out, s)
	}
	r.publish(out)
}
