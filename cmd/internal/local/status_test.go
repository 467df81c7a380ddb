package local_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/local"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/objectstore/httpstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/directory"
)

// Guards against a status that omits a problem of an instance or its databases, that still shows a problem after it
// is resolved, or that remains in the store after the instance has stopped.
func TestStatusShowsHealth(t *testing.T) {
	d := start(t, local.Config{Instances: 1, Accounts: oneAccount(), Routes: oneRoute()})
	client, err := httpstore.New(httpstore.Config{BaseURL: d.Store.URL()})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	await := func(what string, done func(status directory.Status, err error) bool) {
		t.Helper()
		for limit := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			var status directory.Status
			object, err := client.Get(t.Context(), directory.StatusPrefix+d.Instances[0].ID)
			_ = json.Unmarshal(object.Value, &status)
			if done(status, err) {
				return
			}
			if time.Now().After(limit) {
				t.Fatalf("%s: unexpected status %+v, error %v", what, status, err)
			}
		}
	}
	healthKey := "database " + local.DatabaseName
	await("all is well", func(s directory.Status, _ error) bool { return s.Version > 0 && len(s.Health) == 0 })
	d.Group.Kill(2)
	await("server is killed", func(s directory.Status, _ error) bool { return s.Health[healthKey] == "gets no answer from s3" })
	open, err := connect(t, d, 0).Begin(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- d.Instances[0].Stop() }()
	await("instance drains", func(s directory.Status, _ error) bool { return s.Health["instance"] == "drains" })
	d.Group.Kill(1)
	await("majority is killed", func(s directory.Status, _ error) bool {
		return s.Health[healthKey] == "has no majority, gets no answer from s2 s3"
	})
	d.Group.Kill(0)
	await("all are killed", func(s directory.Status, _ error) bool {
		return strings.HasPrefix(s.Health[healthKey], "has no primary, has no majority")
	})
	_ = open.Rollback(context.Background())
	if err := <-stopped; err != nil {
		t.Errorf("instance stopped with error %v", err)
	}
	await("instance has stopped", func(_ directory.Status, err error) bool { return errors.Is(err, objectstore.ErrNotFound) })
}
