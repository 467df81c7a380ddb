package node

import (
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/platform"
)

// serverRegistry holds the entries of all registered servers. One goroutine uses it.
type serverRegistry struct {
	log     logrus.FieldLogger
	regions map[string]string
	entries map[string]discovery.Server
	publish func([]discovery.Server)
}

func (r *serverRegistry) replaceAll(all []platform.Object) {
	before := r.entries
	r.entries = make(map[string]discovery.Server, len(all))
	for _, o := range all {
		r.applyEntry(o, before)
	}
	r.publishAll()
}

func (r *serverRegistry) applyChanges(some []platform.Object) {
	for _, o := range some {
		if o.Deleted {
			delete(r.entries, o.Name)
			event(r.log, EventServerChanged).WithField("server", o.Name).Info("server's entry is gone")
			continue
		}
		r.applyEntry(o, r.entries)
	}
	r.publishAll()
}

// applyEntry reads one entry. An entry that names no server is ignored, and removes what the same writer's name held.
func (r *serverRegistry) applyEntry(o platform.Object, before map[string]discovery.Server) {
	s, err := platform.DecodeServer(o, r.regions)
	if err != nil {
		delete(r.entries, o.Name)
		event(r.log, EventServerIgnored).WithField("server", o.Name).WithError(err).Warn("entry names no server that can be used")
		return
	}
	old, known := before[o.Name]
	if !known || old.Leaving != s.Leaving || old.Primary != s.Primary || old.Started != s.Started || old.Address != s.Address {
		event(r.log, EventServerChanged).WithFields(logrus.Fields{
			"server": s.ID, "database": s.Database, "primary": s.Primary, "leaving": s.Leaving,
			"failure_domain": s.FailureDomain, "revision": s.Revision,
		}).Info("server's entry has changed")
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
