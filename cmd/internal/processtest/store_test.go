package processtest

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
)

// Guards against statements or a failover that depend on the store, and against instances that don't adopt a
// new manifest after the store was silent.
func TestStoreSilentThroughFailover(t *testing.T) {
	d := deploy(t, setup{})
	d.store.signal(t, syscall.SIGSTOP)
	r := d.startLoad(nil)
	d.servers[0].kill()
	next := d.awaitFailover(0)
	d.store.signal(t, syscall.SIGCONT)
	d.checkNewManifest()
	d.awaitLogGrowth(next, 200)
	checkGap(t, r.finish(), gapAfterCrash)
}

// Guards against a failover that depends on the store while its address refuses connections.
func TestPrimaryKilledWhileStoreRefuses(t *testing.T) {
	d := deploy(t, setup{})
	r := d.startLoad(nil)
	d.storeRelay.cut()
	d.servers[0].kill()
	next := d.awaitFailover(0)
	d.storeRelay.heal()
	d.checkNewManifest()
	d.awaitLogGrowth(next, 200)
	checkGap(t, r.finish(), gapAfterCrash)
}

// newAccount is the account that checkNewManifest adds.
const newAccount = "safety-officers"

// checkNewManifest applies a manifest with an additional account and waits until every instance accepts
// its key.
func (d *deployment) checkNewManifest() {
	d.t.Helper()
	const account = newAccount
	d.keys[account] = "key of " + account
	m := d.manifest(2)
	m.Accounts = append(m.Accounts, manifest.Account{
		Name: account, Weight: 1, Rate: 1e6, Burst: 1e6,
		Keys: []manifest.Key{{ID: account + "-1", SHA256: manifest.HashKey(d.keys[account]).String()}},
	})
	m.Routes[0].Accounts = append(m.Routes[0].Accounts, account)
	d.applyManifest(m)
	applied := time.Now()
	for i := range d.instances {
		waitFor(d.t, "manifest in force at "+d.instances[i].id, func() bool { return d.tryWrite(i, account) == nil })
	}
	d.t.Logf("manifest in force at all instances after %s", time.Since(applied).Round(time.Millisecond))
}

// Guards against instances that revert to an older manifest in the store, for example from a restored backup,
// and against an instance that starts then and keeps the older one.
func TestManifestNeverReverts(t *testing.T) {
	d := deploy(t, setup{})
	d.checkNewManifest()
	openConn := d.mustConnect(0, newAccount)
	d.overwriteManifest(d.manifest(1))
	waitFor(t, "time to adopt the older manifest", func() bool {
		for i := range d.instances {
			if err := d.tryWrite(i, newAccount); err != nil {
				t.Fatalf("write of an account of the newer manifest at %s: %v", d.instances[i].id, err)
			}
		}
		return time.Since(d.overwrittenAt) > adoptionLimit
	})
	if _, err := read(t.Context(), openConn, "any"); err != nil {
		t.Errorf("read on an open connection of an account of the newer manifest: %v", err)
	}
	d.instances[1].kill()
	d.startInstance(d.instances[1])
	waitFor(t, "newer manifest at an instance started later", func() bool { return d.tryWrite(1, newAccount) == nil })
}

// overwriteManifest stores m regardless of its version.
func (d *deployment) overwriteManifest(m manifest.Manifest) {
	d.t.Helper()
	stored, err := d.client.Get(d.t.Context(), manifest.StoreKey)
	if err != nil {
		d.t.Fatal(err)
	}
	document, err := json.Marshal(m)
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := d.client.Put(d.t.Context(), manifest.StoreKey, document, stored.Version); err != nil {
		d.t.Fatal(err)
	}
	d.overwrittenAt = time.Now()
}

// Guards against an apply command that repeats a change, or reports it as failed, because the answer was lost.
func TestApplyAnswerLost(t *testing.T) {
	d := deploy(t, setup{})
	r := d.startLoad(nil)
	storeRelay := startRelay(t, hostPort(d.storeURL))
	// On each connection one answer to a get passes. On the first the answer to the put follows and is cut off; the
	// second carries the get that reads back.
	storeRelay.limitAnswers(d.answerLength("/v1/objects/"+manifest.StoreKey) + 10)
	next := d.manifest(2)
	next.Accounts[0].Burst++
	out, err := runCtl(t, "--store", "http://"+storeRelay.address(), "apply", "--json", "--if-version", "1", d.writeManifest(next))
	if err != nil || !strings.Contains(out, `"readBack": true`) {
		t.Errorf("apply printed %s, error %v, want success by reading back", out, err)
	}
	object, err := d.client.Get(t.Context(), manifest.StoreKey)
	if err != nil {
		t.Fatal(err)
	}
	if stored, err := manifest.Decode(object.Value); err != nil || stored.Version != 2 {
		t.Errorf("stored manifest %+v, error %v, want version 2", stored, err)
	}
	r.finish()
}

// answerLength returns the length in bytes of the store's answer to a get.
func (d *deployment) answerLength(path string) int {
	d.t.Helper()
	conn, err := net.Dial("tcp", hostPort(d.storeURL))
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.0\r\n\r\n", path); err != nil {
		d.t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		d.t.Fatal(err)
	}
	return len(answer)
}

// Stated time limits after a change of the manifest.
const (
	withdrawalLimit = 5 * time.Second
	leavingLimit    = 5 * time.Second
	adoptionLimit   = 5 * time.Second
)

// Guards against a withdrawn key that still works on new connections or on open ones, idle or busy, and against
// a withdrawal that affects other accounts.
func TestKeyWithdrawn(t *testing.T) {
	d := deploy(t, setup{})
	r := d.startLoad(func(c *load.Config) { c.Accounts = []load.Account{{Name: crews, Key: d.keys[crews]}} })
	ended := make(chan error, 2*len(d.instances))
	for i := range d.instances {
		idle, busy := d.mustConnect(i, marshals), d.mustConnect(i, marshals)
		go func() { ended <- idle.PgConn().WaitForNotification(t.Context()) }()
		go func() {
			for {
				if _, err := read(t.Context(), busy, "any"); err != nil {
					ended <- err
					return
				}
			}
		}()
	}
	ctl(t, "--store", d.storeURL, "keys", "withdraw", "--account", marshals, "--id", marshals+"-1")
	withdrawn := time.Now()
	for range cap(ended) {
		select {
		case err := <-ended:
			t.Logf("connection ended after %s: %v", time.Since(withdrawn).Round(time.Millisecond), err)
		case <-time.After(time.Until(withdrawn.Add(withdrawalLimit))):
			t.Fatalf("open connection still works %s after its key was withdrawn", withdrawalLimit)
		}
	}
	for i := range d.instances {
		err := d.tryWrite(i, marshals)
		var refusal *pgconn.PgError
		if !errors.As(err, &refusal) || refusal.Code != "28P01" {
			t.Errorf("new connection with a withdrawn key at %s: %v, want SQLSTATE 28P01", d.instances[i].id, err)
		}
	}
	d.awaitLogGrowth(0, 200)
	if c := total(r.finish()); c.NotRun+c.Unknown+c.ConnectFailures > 0 {
		t.Errorf("counts of another account %+v, want no failures", c)
	}
}
