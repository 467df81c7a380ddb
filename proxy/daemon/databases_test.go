package daemon

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/proxy/telemetry"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
)

// countedConn decrements the number of open connections when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// Guards against control connections that stay open after a manifest replaces or removes a database, and
// against a removal that interrupts the probes of another group with the same servers.
func TestStoppedGroupClosesItsConnections(t *testing.T) {
	servers, err := database.StartGroup(database.GroupConfig{})
	if err != nil {
		t.Fatal(err)
	}
	defer servers.Close()
	var open atomic.Int64
	cfg := Config{InstanceID: "i1", UpstreamUser: "proxy"}
	cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		open.Add(1)
		return &countedConn{Conn: conn, open: &open}, nil
	}
	cfg.setDefaults()
	g := newGroups(cfg, cfg.Log, telemetry.New())
	ctx, stop := context.WithCancel(t.Context())
	deadline := time.Now().Add(30 * time.Second)
	var tasks sync.WaitGroup
	await := func(what string, done func(connections int) bool) {
		t.Helper()
		for !done(int(open.Load())) {
			if time.Now().After(deadline) {
				t.Fatalf("timed out waiting for: %s; %d control connections are open", what, open.Load())
			}
			time.Sleep(time.Millisecond)
		}
	}
	g.start(ctx, &tasks)

	size := servers.Size()
	g.applyManifest(manifest.Manifest{Databases: []manifest.Database{serversIn("a", "r", servers), serversIn("b", "r", servers)}})
	await("each of two groups has a connection to each server", func(n int) bool { return n >= 2*size })
	g.applyManifest(manifest.Manifest{Databases: []manifest.Database{serversIn("a", "moved", servers)}})
	if _, err := (namedDatabase{g, "a"}).Primary(ctx); err != nil {
		t.Errorf("Primary of the replaced group: %v", err)
	}
	await("connections closed after one group was replaced and one removed", func(n int) bool { return n <= size })
	stop()
	tasks.Wait()
	await("connections closed after all groups have ended", func(n int) bool { return n == 0 })
}

// serversIn returns a manifest entry for a database with all servers in one region.
func serversIn(name, region string, g *database.Group) manifest.Database {
	d := manifest.Database{Name: name}
	for i := range g.Size() {
		s := g.Server(i)
		d.Servers = append(d.Servers, manifest.Server{ID: string(s.ID()), Address: s.Address(), Region: region})
	}
	return d
}

// Guards against a status object whose size grows with the number of unhealthy databases.
func TestHealthIsBounded(t *testing.T) {
	health := map[string]string{}
	for i := range 100 {
		health[fmt.Sprintf("database %03d", i)] = "has no primary"
	}
	got := truncateHealth(health)
	if len(got) != maxReportedDatabases+1 || got["database 000"] == "" || got["databases"] != "80 more have problems" {
		t.Errorf("reported health is %v, want 20 databases and the number of the others", got)
	}
}
