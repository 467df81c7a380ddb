package store

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/objectstore/httpstore"
)

const (
	testKey     = "config/manifest"
	testTimeout = 20 * time.Second
)

func startStore(t *testing.T) (*Server, *httpstore.Client, context.Context) {
	t.Helper()
	server, err := Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client, err := httpstore.New(httpstore.Config{BaseURL: server.URL(), WatchWait: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(func() {
		cancel()
		client.Close()
		_ = server.Close()
	})
	return server, client, ctx
}

func mustPut(t *testing.T, ctx context.Context, s objectstore.Store, key, value string, ifVersion uint64) uint64 {
	t.Helper()
	version, err := s.Put(ctx, key, []byte(value), ifVersion)
	if err != nil {
		t.Fatalf("Put %s: %v", key, err)
	}
	return version
}

// Guards against a write that overwrites a change which its writer has not read.
func TestConditionalWrites(t *testing.T) {
	_, client, ctx := startStore(t)
	if _, err := client.Get(ctx, testKey); !errors.Is(err, objectstore.ErrNotFound) {
		t.Fatalf("Get of an absent object = %v, want ErrNotFound", err)
	}
	first := mustPut(t, ctx, client, testKey, "one", 0)
	second := mustPut(t, ctx, client, testKey, "two", first)
	if second <= first {
		t.Errorf("version went from %d to %d, want it to increase", first, second)
	}
	for _, stale := range []uint64{0, first, second + 1} {
		if _, err := client.Put(ctx, testKey, []byte("three"), stale); !errors.Is(err, objectstore.ErrConflict) {
			t.Errorf("Put on version %d = %v, want ErrConflict", stale, err)
		}
	}
	if err := client.Delete(ctx, testKey, first); !errors.Is(err, objectstore.ErrConflict) {
		t.Errorf("Delete of version %d = %v, want ErrConflict", first, err)
	}
	obj, err := client.Get(ctx, testKey)
	if err != nil || string(obj.Value) != "two" || obj.Version != second {
		t.Errorf("Get = %+v, %v, want two at version %d", obj, err, second)
	}
}

// Guards against a deleted object that reappears, and against a write that is accepted with the version
// from before the deletion.
func TestDeletion(t *testing.T) {
	_, client, ctx := startStore(t)
	version := mustPut(t, ctx, client, testKey, "one", 0)
	if err := client.Delete(ctx, testKey, version); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Get(ctx, testKey); !errors.Is(err, objectstore.ErrNotFound) {
		t.Errorf("Get after Delete = %v, want ErrNotFound", err)
	}
	if err := client.Delete(ctx, testKey, version); !errors.Is(err, objectstore.ErrConflict) {
		t.Errorf("second Delete = %v, want ErrConflict", err)
	}
	changes, _, err := client.Watch(ctx, testKey, version)
	if err != nil || len(changes) != 1 || !changes[0].Deleted {
		t.Errorf("Watch = %+v, %v, want one deletion", changes, err)
	}
	if again := mustPut(t, ctx, client, testKey, "two", 0); again <= version+1 {
		t.Errorf("version after deletion = %d, want above %d", again, version+1)
	}
}

// Guards against a client that repeats a put whose response was lost although the put took effect.
func TestLostAnswerIsResolvedByReadingBack(t *testing.T) {
	server, client, ctx := startStore(t)
	server.DropPutResponses(1)
	_, err := client.Put(ctx, testKey, []byte("one"), 0)
	if !errors.Is(err, httpstore.ErrUnavailable) {
		t.Fatalf("Put with a lost response = %v, want ErrUnavailable", err)
	}
	obj, err := client.Get(ctx, testKey)
	if err != nil || string(obj.Value) != "one" {
		t.Fatalf("Get = %+v, %v, want the value that was put", obj, err)
	}
	if got := server.Calls().Put; got != 1 {
		t.Errorf("store received %d puts, want 1: the client must not retry it", got)
	}
}

// Guards against missing a change made between two watches, and against reporting changes of other
// prefixes.
func TestWatchResumes(t *testing.T) {
	_, client, ctx := startStore(t)
	first := mustPut(t, ctx, client, testKey, "one", 0)
	changes, after, err := client.Watch(ctx, "config/", 0)
	if err != nil || len(changes) != 1 || after != first {
		t.Fatalf("Watch = %+v, %d, %v, want one change at %d", changes, after, err, first)
	}
	second := mustPut(t, ctx, client, testKey, "two", first)
	third := mustPut(t, ctx, client, "status/a", "x", 0)
	changes, after, err = client.Watch(ctx, "config/", after)
	if err != nil || len(changes) != 1 || changes[0].Version != second || after != third {
		t.Fatalf("Watch = %+v, %d, %v, want version %d, continue from %d", changes, after, err, second, third)
	}
	changes, after, err = client.Watch(ctx, "config/", after)
	if err != nil || len(changes) != 0 || after != third {
		t.Errorf("Watch without change = %+v, %d, %v, want no changes", changes, after, err)
	}
}

// Guards against a waiting watch that misses a change, and against counting one watch several times.
func TestWatchWakesUp(t *testing.T) {
	server, _, ctx := startStore(t)
	client, err := httpstore.New(httpstore.Config{BaseURL: server.URL(), WatchWait: testTimeout})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	got := make(chan []objectstore.Object, 1)
	go func() {
		changes, _, _ := client.Watch(context.Background(), "config/", 0)
		got <- changes
	}()
	for server.Calls().Watch == 0 {
		time.Sleep(time.Millisecond)
	}
	mustPut(t, ctx, client, testKey, "one", 0)
	if changes := <-got; len(changes) != 1 {
		t.Errorf("Watch = %+v, want the change", changes)
	}
	if n := server.Calls().Watch; n != 1 {
		t.Errorf("watch counted %d times, want 1", n)
	}
}

// Guards against a client or a stand-in that accepts a value which the platform's store would reject.
func TestTooLargeValue(t *testing.T) {
	server, client, ctx := startStore(t)
	largest := bytes.Repeat([]byte("x"), objectstore.MaxValueBytes)
	if _, err := client.Put(ctx, testKey, largest, 0); err != nil {
		t.Errorf("Put of 1 MiB = %v, want success", err)
	}
	tooLarge := append(largest, 'x')
	if _, err := client.Put(ctx, "other", tooLarge, 0); !errors.Is(err, objectstore.ErrTooLarge) {
		t.Errorf("Put of 1 MiB and a byte = %v, want ErrTooLarge", err)
	}
	req, _ := http.NewRequestWithContext(ctx, http.MethodPut, server.URL()+httpstore.ObjectsPath+"/raw", bytes.NewReader(tooLarge))
	req.Header.Set("If-None-Match", "*")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("raw Put = status %d, want 413", resp.StatusCode)
	}
}

// Guards against treating an outage or an unanswered watch as contact with the store.
func TestOutages(t *testing.T) {
	server, client, ctx := startStore(t)
	version := mustPut(t, ctx, client, testKey, "one", 0)
	outages := map[string][2]func(){
		"refused":     {func() { _ = server.RefuseConnections() }, func() { _ = server.AcceptConnections() }},
		"unavailable": {func() { server.SetUnavailable(true) }, func() { server.SetUnavailable(false) }},
	}
	for name, switches := range outages {
		switches[0]()
		if _, err := client.Get(ctx, testKey); !errors.Is(err, httpstore.ErrUnavailable) {
			t.Errorf("%s: Get = %v, want ErrUnavailable", name, err)
		}
		if _, _, err := client.Watch(ctx, testKey, version); !errors.Is(err, httpstore.ErrUnavailable) {
			t.Errorf("%s: Watch = %v, want ErrUnavailable", name, err)
		}
		switches[1]()
		if obj, err := client.Get(ctx, testKey); err != nil || obj.Version != version {
			t.Errorf("%s: Get afterwards = %+v, %v, want version %d", name, obj, err, version)
		}
	}
	server.SetRequestDelay(testTimeout)
	shortCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	if _, _, err := client.Watch(shortCtx, testKey, version); err == nil {
		t.Error("Watch of a store that doesn't respond returned no error, want one")
	}
}

// Guards against a stand-in that can't produce stale reads, which the store's clients must tolerate.
func TestStaleReads(t *testing.T) {
	server, client, ctx := startStore(t)
	first := mustPut(t, ctx, client, testKey, "one", 0)
	server.SetStaleReads(2)
	second := mustPut(t, ctx, client, testKey, "two", first)
	for i, want := range []uint64{second, first, second} {
		obj, err := client.Get(ctx, testKey)
		if err != nil || obj.Version != want {
			t.Errorf("read %d = version %d, %v, want %d", i, obj.Version, err, want)
		}
	}
	_, after, err := client.Watch(ctx, testKey, second)
	if !errors.Is(err, httpstore.ErrStale) || after != second {
		t.Errorf("stale Watch = continue from %d, %v, want ErrStale and %d", after, err, second)
	}
}

// Guards against a list in the wrong order or with other keys, and against keys altered by URL encoding.
func TestListAndKeys(t *testing.T) {
	_, client, ctx := startStore(t)
	mustPut(t, ctx, client, "status/b c?%2F", "2", 0)
	mustPut(t, ctx, client, "status/a", "1", 0)
	last := mustPut(t, ctx, client, "statusx", "3", 0)
	list, revision, err := client.List(ctx, "status/")
	if err != nil || revision != last || len(list) != 2 {
		t.Fatalf("List = %+v, %d, %v, want two objects at revision %d", list, revision, err, last)
	}
	if list[0].Key != "status/a" || list[1].Key != "status/b c?%2F" || string(list[1].Value) != "2" {
		t.Errorf("List = %+v, want both in key order", list)
	}
	for _, key := range []string{"", "a//b", "../a", "a/./b"} {
		if _, err := client.Get(ctx, key); !errors.Is(err, httpstore.ErrBadKey) {
			t.Errorf("Get %q = %v, want ErrBadKey", key, err)
		}
	}
}

// Guards against decoding the list of instances differently from how the platform encodes it.
func TestInstanceList(t *testing.T) {
	_, client, ctx := startStore(t)
	list := httpstore.InstanceList{Store: client}
	if _, err := list.Instances(ctx); !errors.Is(err, objectstore.ErrNotFound) {
		t.Errorf("missing list = %v, want ErrNotFound", err)
	}
	body := `[{"id":"i1","peerAddress":"10.0.0.1:7000","region":"sask","failureDomain":"sask-a","leaving":true}]`
	mustPut(t, ctx, client, httpstore.InstancesKey, body, 0)
	got, err := list.Instances(ctx)
	want := objectstore.Instance{ID: "i1", PeerAddress: "10.0.0.1:7000", Region: "sask", FailureDomain: "sask-a", Leaving: true}
	if err != nil || len(got) != 1 || got[0] != want {
		t.Errorf("Instances = %+v, %v, want %+v", got, err, want)
	}
}
