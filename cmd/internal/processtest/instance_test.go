package processtest

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"

	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
)

// pauseLength exceeds every timeout between instances and servers.
const pauseLength = 3 * time.Second

// Guards against an instance that, when resumed after a failover, forwards late answers of the superseded
// primary as acknowledgements.
func TestInstancePausedDuringFailover(t *testing.T) {
	d := deploy(t, setup{})
	r := d.startLoad(nil)
	d.instances[1].signal(t, syscall.SIGSTOP)
	d.servers[0].signal(t, syscall.SIGSTOP)
	resume := time.Now().Add(pauseLength)
	next := d.awaitFailover(0)
	waitUntil(t, "pause", resume)
	d.servers[0].signal(t, syscall.SIGCONT)
	d.instances[1].signal(t, syscall.SIGCONT)
	d.awaitRejoin(0, next)
	d.awaitWrite(1)
	checkGap(t, r.finish(), gapWorstCase)
}

// Guards against an instance that still uses the old primary if that was killed while the instance was paused.
func TestInstancePausedWhilePrimaryKilled(t *testing.T) {
	d := deploy(t, setup{})
	r := d.startLoad(nil)
	d.instances[1].signal(t, syscall.SIGSTOP)
	d.servers[0].kill()
	resume := time.Now().Add(pauseLength)
	next := d.awaitFailover(0)
	waitUntil(t, "pause", resume)
	d.instances[1].signal(t, syscall.SIGCONT)
	d.awaitWrite(1)
	d.awaitLogGrowth(next, 200)
	checkGap(t, r.finish(), gapWorstCase)
}

// openTransaction is an open transaction in a session that has had a write acknowledged before.
type openTransaction struct {
	conn     *pgx.Conn
	tx       pgx.Tx
	ackedKey string // key of the acknowledged write
	txKey    string // key written inside the transaction
	value    string
}

// begin opens a transaction through instance i, after a write that is acknowledged, and writes in it.
func (d *deployment) begin(i, number int) *openTransaction {
	d.t.Helper()
	o := &openTransaction{
		conn:     d.mustConnect(i, marshals),
		ackedKey: fmt.Sprintf("earlier-%d", number),
		txKey:    fmt.Sprintf("inside-%d", number),
		value:    fmt.Sprint(number),
	}
	ctx := d.t.Context()
	if _, err := o.conn.Exec(ctx, upsert, o.ackedKey, o.value); err != nil {
		d.t.Fatal(err)
	}
	var err error
	if o.tx, err = o.conn.Begin(ctx); err != nil {
		d.t.Fatal(err)
	}
	if _, err := o.tx.Exec(ctx, upsert, o.txKey, o.value); err != nil {
		d.t.Fatal(err)
	}
	return o
}

const transactions = 4

func (d *deployment) beginAll(i int) []*openTransaction {
	d.t.Helper()
	var all []*openTransaction
	for n := range transactions {
		all = append(all, d.begin(i, n))
	}
	return all
}

// read returns the value of a key, empty if it does not exist.
func read(ctx context.Context, conn *pgx.Conn, key string) (string, error) {
	var value string
	err := conn.QueryRow(ctx, selectKey, key).Scan(&value)
	if errors.Is(err, pgx.ErrNoRows) {
		return "", nil
	}
	return value, err
}

// checkValue fails the test unless a key, read through conn, has the value want.
func (d *deployment) checkValue(conn *pgx.Conn, key, want string) {
	d.t.Helper()
	got, err := read(d.t.Context(), conn, key)
	if err != nil || got != want {
		d.t.Errorf("key %s holds %q, want %q, error %v", key, got, want, err)
	}
}

// Guards against partial commits and remaining locks of transactions whose instance is killed, and against
// sessions that don't see their own writes after they move to another instance.
func TestInstanceKilledInsideTransactions(t *testing.T) {
	d := deploy(t, setup{lag: 2 * time.Millisecond, jitter: 5 * time.Millisecond})
	r := d.startLoad(nil)
	open := d.beginAll(0)
	d.instances[0].kill()
	for _, o := range open {
		if err := o.tx.Commit(t.Context()); err == nil {
			t.Errorf("transaction on %s committed through a killed instance", o.txKey)
		}
		moved := d.mustConnect(1, marshals)
		d.checkValue(moved, o.ackedKey, o.value)
		d.checkValue(moved, o.txKey, "")
		if _, err := moved.Exec(t.Context(), upsert, o.txKey, "after"); err != nil {
			t.Errorf("write to a key of the ended transaction: %v", err)
		}
		d.checkValue(moved, o.txKey, "after")
	}
	d.awaitLogGrowth(0, 200)
	checkGap(t, r.finish(), gapAfterCrash)
}

// Guards against a planned stop that interrupts statements or open transactions, or does not finish.
func TestPlannedStop(t *testing.T) {
	d := deploy(t, setup{})
	r := d.startLoad(nil)
	open := d.beginAll(0)
	d.instances[0].signal(t, syscall.SIGTERM)
	waitFor(t, "instance not ready", func() bool { return !d.ready(0) })
	check := d.mustConnect(1, marshals)
	for _, o := range open {
		if _, err := o.tx.Exec(t.Context(), upsert, o.txKey, "second"); err != nil {
			t.Errorf("statement in an open transaction: %v", err)
		}
		if err := o.tx.Commit(t.Context()); err != nil {
			t.Errorf("commit of an open transaction: %v", err)
		}
		d.checkValue(check, o.txKey, "second")
	}
	if code := d.instances[0].awaitExit(t); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	d.awaitLogGrowth(0, 200)
	if c := total(r.finish()); c.Unknown > 0 {
		t.Errorf("%d statements of unknown outcome, want none", c.Unknown)
	}
}

// Guards against a planned stop of a home instance that interrupts statements and transactions of other instances.
func TestHomeStops(t *testing.T) {
	d := deploy(t, setup{})
	r := d.startLoad(nil)
	home := d.homeOf(0)
	other := 1 - home
	open := d.beginAll(other)
	d.instances[home].signal(t, syscall.SIGTERM)
	waitFor(t, "instance not ready", func() bool { return !d.ready(home) })
	for _, o := range open {
		if _, err := o.tx.Exec(t.Context(), upsert, o.txKey, "second"); err != nil {
			t.Errorf("statement in an open transaction: %v", err)
		}
	}
	check := d.mustConnect(other, marshals)
	d.awaitLogGrowth(0, 200)
	for _, o := range open {
		if err := o.tx.Commit(t.Context()); err != nil {
			t.Errorf("commit of an open transaction: %v", err)
		}
		d.checkValue(check, o.txKey, "second")
	}
	if code := d.instances[home].awaitExit(t); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	d.awaitLogGrowth(0, 200)
	if c := total(r.finish()); c.Unknown > 0 {
		t.Errorf("%d statements of unknown outcome, want none", c.Unknown)
	}
}

// homeOf returns the instance that holds the connections to server i while all instances are running.
func (d *deployment) homeOf(i int) int {
	var addresses []string
	for _, n := range d.instances {
		addresses = append(addresses, n.peer)
	}
	return slices.Index(addresses, peer.Rendezvous(string(d.servers[i].id), addresses))
}
