package node

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
)

// refusingStore counts calls by kind and refuses them until up is set.
type refusingStore struct {
	mu    sync.Mutex
	up    bool
	calls map[string]int
}

func (s *refusingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	s.calls[kind]++
	if !s.up {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte(`{"items":[],"as_of":5,"events":[]}`))
}

func (s *refusingStore) count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

// Guards against an instance whose followers all keep calling a store that refuses everything, and against followers
// that don't resume when the prober finds the outage ended.
func TestOneFollowerProbesInAnOutage(t *testing.T) {
	fake := &refusingStore{calls: map[string]int{}}
	server := httptest.NewServer(fake)
	defer server.Close()
	store := platform.NewStore(server.Listener.Addr().String(), (&net.Dialer{}).DialContext, objectstore.NewEras(boottime.Now, nil))
	defer store.Close()
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	kinds := []string{"a", "b", "c", "d"}
	sharedOutage := &outage{}
	listed := make(chan string, 100)
	for _, kind := range kinds {
		f := &follower{
			store: store, outage: sharedOutage, isProber: kind == kinds[0], cache: newObjectCache(boottime.Now), kind: kind, wait: time.Second, now: boottime.Now, log: discardLogger(),
			onList: func(objectList) { listed <- kind }, onChange: func([]platform.Object) {}, onConfirm: func(time.Duration, uint64) {},
		}
		running.Go(func() { f.run(ctx) })
	}
	const down = 1500 * time.Millisecond
	time.Sleep(down)
	total := 0
	for _, kind := range kinds {
		total += fake.count(kind)
	}
	// The prober calls at most once per retryMin, and the others once each, plus once more before the prober has failed.
	if limit := int(down/retryMin) + 2*len(kinds); total > limit {
		t.Errorf("%d calls in %s, want at most %d", total, down, limit)
	}
	fake.mu.Lock()
	fake.up = true
	fake.mu.Unlock()
	timeout := time.After(retryMax + recoveryJitter + time.Second)
	for range kinds {
		select {
		case <-listed:
		case <-timeout:
			t.Fatal("not all followers resumed after the outage")
		}
	}
}

// Guards against a follower that waits for the prober while the prober can reach the store.
func TestFollowersWaitOnlyWhileProberHasLostStore(t *testing.T) {
	o := &outage{}
	prober, other := &follower{isProber: true}, &follower{}
	if _, ongoing := o.markLost(other); ongoing {
		t.Error("the failure of another follower starts an outage")
	}
	ended, ongoing := o.markLost(prober)
	if !ongoing {
		t.Error("the failure of the prober does not start an outage")
	}
	if _, ongoing := o.markLost(other); !ongoing {
		t.Error("the outage is not reported to the other followers")
	}
	o.markReached(other)
	select {
	case <-ended:
		t.Error("another follower ended the outage")
	default:
	}
	o.markReached(prober)
	<-ended
	if _, ongoing := o.markLost(other); ongoing {
		t.Error("the outage continues after the prober has reached the store")
	}
}
