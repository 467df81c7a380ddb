package node

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
)

// Load: the primaries of many databases fail together, and their claims are renewed every second, so that each watch brings changes.
// Guards against an instance that hears from the store all the time, but loses its leases on the primaries of all other databases.
func TestClaimChangesConfirmLeases(t *testing.T) {
	var clock atomic.Int64
	now := func() time.Duration { return time.Duration(clock.Load()) }
	clock.Store(int64(time.Minute))
	var revision atomic.Int64
	revision.Store(10)
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clock.Add(int64(20 * time.Millisecond)) // the time of a call
		if !r.URL.Query().Has("watch") {
			fmt.Fprintf(w, `{"items":[],"has_more":false,"as_of":%d}`, revision.Load())
			return
		}
		next := revision.Add(1)
		name := "db-" + strconv.FormatInt(next%100, 10)
		fmt.Fprintf(w, `{"events":[{"object":{"meta":{"name":%q,"revision":%d},"spec":{"server":"i-1"}}}],"as_of":%d}`, name, next, next)
	}))
	t.Cleanup(store.Close)

	var leases leaderlease.Leases
	leases.ConfirmListed(now(), now())
	client := platform.NewStore(store.Listener.Addr().String(), (&net.Dialer{}).DialContext, objectstore.NewEras(boottime.Now, nil))
	t.Cleanup(client.Close)
	f := &follower{
		store: client, outage: &outage{}, cache: newObjectCache(now), kind: claimsKind, wait: claimsWatchWait, maxAge: leaderlease.Term / 2, now: now,
		log: discardLogger(), onChange: func([]platform.Object) {}, onList: func(objectList) {},
		onConfirm: func(asOf time.Duration, _ uint64) { leases.Confirm(asOf) },
	}
	for end := now() + 10*time.Second; now() < end; {
		if err := f.step(t.Context()); err != nil {
			t.Fatal(err)
		}
		leases.ConfirmListed(now(), now())
		if !leases.Valid(now()) {
			t.Fatalf("the leases have expired at revision %d although every call to the store was answered; last confirmed %s ago",
				revision.Load(), now()-f.asOf)
		}
	}
}
