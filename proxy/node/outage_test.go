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

	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
)

// refusingStore counts calls by kind and refuses them until it is up.
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

// Guards against an instance whose followers all call a store that refuses everything, and against followers that don't
// notice the end of the outage with the one that probes.
func TestOneFollowerProbesInAnOutage(t *testing.T) {
	fake := &refusingStore{calls: map[string]int{}}
	server := httptest.NewServer(fake)
	defer server.Close()
	store := platform.NewStore(server.Listener.Addr().String(), (&net.Dialer{}).DialContext)
	defer store.Close()
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	kinds := []string{"a", "b", "c", "d"}
	shared := &outage{}
	heard := make(chan string, 100)
	for _, kind := range kinds {
		f := &follower{
			store: store, outage: shared, isProber: kind == kinds[0], cache: newObjectCache(boottime.Now), kind: kind, wait: time.Second, now: boottime.Now, log: discardLogger(),
			onList: func([]platform.Object) { heard <- kind }, onChange: func([]platform.Object) {}, onConfirm: func(time.Duration) {},
		}
		running.Go(func() { f.run(ctx) })
	}
	const down = 1500 * time.Millisecond
	time.Sleep(down)
	total := 0
	for _, kind := range kinds {
		total += fake.count(kind)
	}
	// The prober calls at most once in retryMin, the others once each, and once more before it has failed.
	if most := int(down/retryMin) + 2*len(kinds); total > most {
		t.Errorf("%d calls in %s, at most %d are needed", total, down, most)
	}
	fake.mu.Lock()
	fake.up = true
	fake.mu.Unlock()
	back := time.After(retryMax + recoveryJitter + time.Second)
	for range kinds {
		select {
		case <-heard:
		case <-back:
			t.Fatal("not all followers came back after the outage")
		}
	}
}

// Guards against a follower that waits for a prober which reaches the store.
func TestFollowersWaitOnlyWhileProberHasLostStore(t *testing.T) {
	o := &outage{}
	prober, other := &follower{isProber: true}, &follower{}
	if _, known := o.markLost(other); known {
		t.Error("one follower's loss is taken for an outage")
	}
	over, known := o.markLost(prober)
	if !known {
		t.Error("the prober's loss is no outage")
	}
	if _, known := o.markLost(other); !known {
		t.Error("the outage is not known to the others")
	}
	o.markReached(other)
	select {
	case <-over:
		t.Error("another follower has ended the outage")
	default:
	}
	o.markReached(prober)
	<-over
	if _, known := o.markLost(other); known {
		t.Error("the outage goes on after the prober is back")
	}
}
