package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/relay"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/platform/platformtest"
	"github.com/cyclamenstile/cyclamenstile/standin/linedb"
)

const (
	// Accounts: one that works steadily, one whose key comes and goes, and one that sends more than its rate.
	steady, withdrawn, greedy = "steady", "withdrawn", "greedy"

	greedyRate, greedyBurst = 40, 40
	otherRate               = 100000
	serversPerDatabase      = 3
	serverSlots             = 4
)

var keys = map[string]string{steady: "key-steady", withdrawn: "key-withdrawn", greedy: "key-greedy"}

// zones are the failure domains, each a region of its own.
var zones = []string{"north", "south", "west"}

// upstream is a database server behind a proxy.
type upstream struct {
	id    string
	zone  string
	relay *relay.Relay
}

// world is the platform and the databases around the instances.
type world struct {
	platform *platformtest.Platform

	mu        sync.Mutex
	version   uint64
	databases map[string]*linedb.Group
	servers   map[string][]*upstream // by database
	leaving   map[string]bool
	// withdrawnAt is when the key was taken away, zero while it is valid. spans holds the times in which it was not.
	withdrawnAt time.Time
	spans       []span
}

// span is a time in which a key was withdrawn; an open one has no end.
type span struct{ from, to time.Time }

func newWorld(databases int) (*world, error) {
	w := &world{
		databases: map[string]*linedb.Group{}, servers: map[string][]*upstream{}, leaving: map[string]bool{},
	}
	p, err := platformtest.Start(w.promote)
	if err != nil {
		return nil, err
	}
	w.platform = p
	for i := range databases {
		if err := w.addDatabase(fmt.Sprintf("db%d", i)); err != nil {
			w.close()
			return nil, err
		}
	}
	return w, w.configure(true)
}

func (w *world) addDatabase(name string) error {
	var ids []string
	for i := range serversPerDatabase {
		ids = append(ids, fmt.Sprintf("%s-s%d", name, i))
	}
	group, err := linedb.New(name, ids...)
	if err != nil {
		return errors.Wrap(err, "start a stand-in database")
	}
	group.SetMaxConnections(24)
	w.databases[name] = group
	for i, id := range ids {
		group.SetWork(id, serverSlots, 2*time.Millisecond)
		r, err := relay.Start(group.Address(id), 0, 0)
		if err != nil {
			return err
		}
		w.servers[name] = append(w.servers[name], &upstream{id: id, zone: zones[i%len(zones)], relay: r})
	}
	return w.register(name)
}

// register writes the entries of a database's servers.
func (w *world) register(name string) error {
	leader := w.databases[name].Leader()
	for _, s := range w.servers[name] {
		spec, err := platform.EncodeServer(discovery.Server{
			Database: name, Address: s.relay.Address(), FailureDomain: s.zone, Slots: serverSlots,
			Primary: s.id == leader, Leaving: w.leaving[s.id],
		})
		if err != nil {
			return err
		}
		if err := w.platform.Put(platform.ServersKind, s.id, spec); err != nil {
			return err
		}
	}
	return nil
}

// promote carries out an order of the instances.
func (w *world) promote(database, server string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	group := w.databases[database]
	if group == nil {
		return false
	}
	group.Promote(server)
	return w.register(database) == nil
}

// configure writes the next configuration, with or without the key that comes and goes.
func (w *world) configure(keyValid bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	c := platformtest.Config{Version: w.version}
	for name := range w.databases {
		c.Databases = append(c.Databases, name)
	}
	c.Tenants = []platformtest.Tenant{
		{Name: steady, Keys: []string{keys[steady]}, Rate: otherRate, Burst: otherRate},
		{Name: greedy, Keys: []string{keys[greedy]}, Rate: greedyRate, Burst: greedyBurst},
	}
	other := platformtest.Tenant{Name: withdrawn, Rate: otherRate, Burst: otherRate}
	if keyValid {
		other.Keys = []string{keys[withdrawn]}
	}
	c.Tenants = append(c.Tenants, other)
	now := time.Now()
	switch {
	case keyValid && !w.withdrawnAt.IsZero():
		w.spans = append(w.spans, span{w.withdrawnAt, now})
		w.withdrawnAt = time.Time{}
	case !keyValid && w.withdrawnAt.IsZero():
		w.withdrawnAt = now
	}
	return w.platform.PutConfig(c)
}

// withdrawals returns the times in which the key was withdrawn.
func (w *world) withdrawals() []span {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := append([]span(nil), w.spans...)
	if !w.withdrawnAt.IsZero() {
		out = append(out, span{w.withdrawnAt, time.Now().Add(time.Hour)})
	}
	return out
}

func (w *world) close() {
	for _, group := range w.databases {
		group.Close()
	}
	for _, servers := range w.servers {
		for _, s := range servers {
			s.relay.Cut()
		}
	}
	if w.platform != nil {
		w.platform.Close()
	}
}
