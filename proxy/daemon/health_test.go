package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/platform/httpstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/directory"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
	"github.com/cyclamenstile/cyclamenstile/standin/store"
)

// Guards against a status that doesn't tell what is wrong with an instance or its databases, that goes on
// telling it when it is over, or that stays behind when the instance has stopped.
func TestStatusShowsHealth(t *testing.T) {
	platformStore, err := store.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = platformStore.Close() }()
	servers, err := database.StartGroup(database.GroupConfig{})
	if err != nil {
		t.Fatal(err)
	}
	defer servers.Close()
	client, err := httpstore.New(httpstore.Config{BaseURL: platformStore.URL()})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	put := func(key string, value []byte) {
		if _, err := client.Put(t.Context(), key, value, 0); err != nil {
			t.Fatal(err)
		}
	}
	d, err := New(Config{InstanceID: "i1", Region: "r", FailureDomain: "d", AllowPlain: true, StoreURL: platformStore.URL(),
		Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", OpsListen: "127.0.0.1:0", UpstreamUser: "proxy"})
	if err != nil {
		t.Fatal(err)
	}
	_, peers, _ := d.Addresses()
	put("instances/list", []byte(`[{"id":"i1","peerAddress":"`+peers+`"}]`))
	m := manifest.Manifest{APIVersion: manifest.APIVersion, Version: 1,
		Databases: []manifest.Database{serversIn("orders", "r", servers)},
		Routes:    []manifest.Route{{Name: "orders", Database: "orders", Open: true}}}
	for i := range m.Databases[0].Servers {
		s := &m.Databases[0].Servers[i]
		s.FailureDomain, s.MaxConnections, s.Slots = "d", 20, 3
	}
	doc, err := m.Pack()
	if err != nil {
		t.Fatal(err)
	}
	put(manifest.StoreKey, doc)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	awaitHealth := func(want string) {
		t.Helper()
		var last string
		for limit := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			object, err := client.Get(t.Context(), directory.StatusPrefix+"i1")
			var status directory.Status
			if err == nil && json.Unmarshal(object.Value, &status) == nil && status.Version == 1 {
				last = status.Health["database orders"]
				if last == want || want != "" && strings.Contains(last, want) {
					return
				}
			}
			if time.Now().After(limit) {
				t.Fatalf("health of the database is %q, want %q", last, want)
			}
		}
	}
	awaitHealth("")
	servers.Kill(0)
	servers.Kill(1)
	awaitHealth("has no primary")
	stop()
	if err := <-ended; err != nil {
		t.Errorf("instance stopped with %v", err)
	}
	if got := d.health()["instance"]; got != "drains" {
		t.Errorf("health of a stopping instance is %q", got)
	}
	if _, err := client.Get(t.Context(), directory.StatusPrefix+"i1"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("status after the stop: %v, want none", err)
	}
}

// Guards against a status object that grows with the number of unhealthy databases.
func TestHealthIsBounded(t *testing.T) {
	health := map[string]string{}
	for i := range 100 {
		health[fmt.Sprintf("database %03d", i)] = "has no primary"
	}
	got := firstOf(health)
	if len(got) != maxReportedDatabases+1 || got["database 000"] == "" || got["databases"] != "80 more have problems" {
		t.Errorf("reported health is %v", got)
	}
}
