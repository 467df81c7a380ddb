package node

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
)

// Guards against a claim that is never seen, because it was written between two pages of a list that had passed its place. The
// evidence of the instance then counts as current, and it goes on at the former primary.
func TestClaimWrittenBetweenPagesIsSeen(t *testing.T) {
	const claimed = 21 // the revision of the claim on "a", which is written once the first page was read
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		switch after, _ := strconv.Atoi(query.Get("watch")); {
		case query.Has("watch") && after < claimed:
			fmt.Fprintf(w, `{"events":[{"object":{"meta":{"name":"a","revision":%d},"spec":{"server":"new"}}}],"as_of":%d}`, claimed, claimed)
		case query.Has("watch"):
			wait, _ := strconv.Atoi(query.Get("wait_ms"))
			time.Sleep(time.Duration(wait) * time.Millisecond)
			fmt.Fprintf(w, `{"events":[],"as_of":%d}`, after)
		case query.Get("after") == "":
			fmt.Fprintf(w, `{"items":[{"meta":{"name":"a","revision":10},"spec":{"server":"former"}}],"has_more":true,"as_of":%d}`, claimed-1)
		default:
			fmt.Fprintf(w, `{"items":[{"meta":{"name":"b","revision":5},"spec":{"server":"other"}}],"has_more":false,"as_of":%d}`, claimed)
		}
	}))
	t.Cleanup(store.Close)

	var leases leaderlease.Leases
	leases.ConfirmListed(boottime.Now(), boottime.Now())
	client := platform.NewStore(store.Listener.Addr().String(), (&net.Dialer{}).DialContext, objectstore.NewEras(boottime.Now, nil))
	instance := newUnassembled(Settings{Instance: "edge-1", UnfencedPromotions: true}, discardLogger())
	adopt := func(objects []platform.Object) {
		for _, o := range objects {
			leases.Adopt(o.Name, instance.leaderClaim(decodeClaim(o.Spec), o.Revision))
		}
	}
	f := &follower{
		store: client, outage: &outage{}, cache: newObjectCache(boottime.Now), kind: claimsKind, wait: shortWatchWait, now: boottime.Now,
		log: discardLogger(), onChange: adopt, onList: func(l objectList) { adopt(l.objects) },
		onConfirm: func(asOf time.Duration, _ uint64) { leases.Confirm(asOf) },
	}
	for range 4 { // the list, and watches
		if err := f.step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if leases.Valid(boottime.Now()) && leases.Claim("a").Allows("former") {
		t.Errorf("the lease on the former primary is valid after watches that confirmed it; the claim of revision %d was never seen", claimed)
	}
}
