package local_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/local"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
)

func start(t *testing.T, cfg local.Config) *local.Deployment {
	t.Helper()
	d, err := local.Start(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func connect(t *testing.T, d *local.Deployment, instance int) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), d.URL(instance, "orders", "marshals"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func oneRoute() []manifest.Route {
	return []manifest.Route{{Name: "orders", Database: local.DatabaseName, Accounts: []string{"marshals"}}}
}

func oneAccount() []local.Account {
	return []local.Account{{Name: "marshals", Weight: 1, Rate: 1e6, Burst: 1e6}}
}

// Guards against stale reads of a client that writes through one instance and reads through another while replicas
// lag.
func TestReadsOwnWritesThroughAnotherInstance(t *testing.T) {
	d := start(t, local.Config{
		Instances: 2,
		Server:    database.Config{ReplicationLag: 2 * time.Millisecond, ReplicationJitter: 5 * time.Millisecond, Seed: 1},
		Accounts:  oneAccount(),
		Routes:    oneRoute(),
	})
	writer, reader := connect(t, d, 0), connect(t, d, 1)
	for i := range 200 {
		want := fmt.Sprint(i)
		_, err := writer.Exec(t.Context(), "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value", "k", want)
		if err != nil {
			t.Fatal(err)
		}
		var got string
		if err := reader.QueryRow(t.Context(), "SELECT value FROM kv WHERE key = $1", "k").Scan(&got); err != nil {
			t.Fatal(err)
		}
		if got != want {
			t.Fatalf("wrote %s, then read %s through the other instance", want, got)
		}
	}
}

// Guards against transactions that hold all execution slots of a server while they wait for their caller.
func TestIdleTransactionsHoldNoSlot(t *testing.T) {
	for instance := range 2 { // one of the two is the home of the primary, the other borrows connections from it
		t.Run(fmt.Sprint("through instance ", instance), func(t *testing.T) {
			d := start(t, local.Config{
				Instances: 2,
				Server:    database.Config{Slots: 1, MaxConnections: 5},
				Accounts:  oneAccount(),
				Routes:    oneRoute(),
			})
			idle := connect(t, d, instance)
			tx, err := idle.Begin(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			insert := "INSERT INTO kv (key, value) VALUES ($1, '1')"
			if _, err := tx.Exec(t.Context(), insert, "in transaction"); err != nil {
				t.Fatal(err)
			}
			if _, err := connect(t, d, instance).Exec(t.Context(), insert, "beside it"); err != nil {
				t.Errorf("statement during an idle transaction: %v", err)
			}
			if err := tx.Commit(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against statements on an open route that the quota refuses because they have no account, and against
// writes on an open route that is read-only.
func TestOpenRoute(t *testing.T) {
	open := manifest.Route{Name: "public", Database: local.DatabaseName, Open: true, ReadOnly: true}
	d := start(t, local.Config{Instances: 2, Accounts: oneAccount(), Routes: append(oneRoute(), open)})
	owner := connect(t, d, 0)
	if _, err := owner.Exec(t.Context(), "INSERT INTO kv (key, value) VALUES ('k', '1') ON CONFLICT (key) DO UPDATE SET value = excluded.value"); err != nil {
		t.Fatal(err)
	}
	for i, instance := range d.Instances {
		anyone, err := pgx.Connect(t.Context(), "postgres://anyone@"+instance.Address+"/public?sslmode=disable")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = anyone.Close(context.Background()) })
		for range 3 {
			var got string
			if err := anyone.QueryRow(t.Context(), "SELECT value FROM kv WHERE key = 'k'").Scan(&got); err != nil || got != "1" {
				t.Fatalf("read through instance %d: %q, %v", i, got, err)
			}
		}
		if _, err := anyone.Exec(t.Context(), "DELETE FROM kv WHERE key = 'k'"); err == nil {
			t.Error("write on a read-only route succeeded, want an error")
		}
	}
}
