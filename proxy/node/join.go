package node

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"time"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// confirmFirstPeriod is how often the first confirmation of the configuration is offered again, for confirmFirstTerm at most.
	confirmFirstPeriod = 20 * time.Millisecond
	confirmFirstTerm   = 10 * time.Second
	// startDialTerm is how long after the start of the process connections to relays are given up after startDialTimeout. A
	// machine that is off doesn't answer, and all callers of the region wait for the configuration. Later, a lost packet must
	// not make followers call the store.
	startDialTerm    = 3 * time.Second
	startDialTimeout = 400 * time.Millisecond
)

// startDialer limits the time to connect while the process is starting.
func startDialer(now func() time.Duration, dial platform.DialFunc) platform.DialFunc {
	started := now()
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if now() < started+startDialTerm {
			limited, cancel := context.WithTimeout(ctx, startDialTimeout)
			defer cancel()
			ctx = limited
		}
		return dial(ctx, network, address)
	}
}

// join makes sure that the list has the entry of this instance, and gives the list to its follower if it is usable. An
// instance that starts again finds its entry in the list, so one call to the store is all that it needs before it follows a
// relay. If the whole system starts for the first time, the list is empty and the entry is written first.
func (n *Node) join(ctx context.Context, f *follower) {
	if n.settings.FirstStart {
		n.awaitOthers(ctx, n.register(ctx))
		return
	}
	list, sentAt, err := f.readList(ctx)
	if err == nil && n.isListed(list) {
		f.adopt(list, sentAt)
		return
	}
	created := n.register(ctx)
	if err == nil && (!created || n.listsRelay(list)) {
		f.adopt(list, sentAt)
		return
	}
	n.awaitOthers(ctx, created)
}

// awaitOthers gives instances that start at the same time the time to register, if this one is new.
func (n *Node) awaitOthers(ctx context.Context, created bool) {
	if created {
		wait.For(ctx, joinDelay)
	}
}

// isListed reports whether a list has the entry of this instance as it would be written.
func (n *Node) isListed(list objectList) bool {
	entry, err := json.Marshal(n.entry())
	return err == nil && slices.ContainsFunc(list.objects, func(o platform.Object) bool {
		return o.Name == n.settings.Instance && !o.Deleting && objectstore.SameJSON(o.Spec, entry)
	})
}

// listsRelay reports whether a list has another instance of the region, which this one can follow.
func (n *Node) listsRelay(list objectList) bool {
	return slices.ContainsFunc(list.objects, func(o platform.Object) bool {
		e, ok := decodeListEntry(o)
		return ok && e.ID != n.settings.Instance && e.Region == n.settings.Locality.Region
	})
}

// confirmFirst offers the first confirmation of the configuration until one is accepted: it waits for the peers.
func (n *Node) confirmFirst(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, confirmFirstTerm)
	defer stop()
	wait.Every(ctx, confirmFirstPeriod, func() {
		waits, confirmed := n.directory.firstState()
		if waits {
			n.directory.offerFirst(n.peersAsked())
		}
		if confirmed {
			stop()
		}
	})
}
