package processtest

import (
	"context"
	"crypto/rand"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
)

// connectTo opens a connection to address as an account with a key, valid or not.
func connectTo(t *testing.T, address, account, key string) (*pgx.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	config, err := load.ConnConfig(address, route, load.Account{Name: account, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err == nil {
		t.Cleanup(func() { _ = conn.Close(context.Background()) })
	}
	return conn, err
}

// Guards against a caller's key that is sent to a database server: during startup, with statements in the simple or
// the extended protocol, or after a failed login.
func TestServersNeverSeeKeys(t *testing.T) {
	const simpleMark, extendedMark = "mark-of-a-simple-query", "mark-of-an-extended-query"
	rec := &recording{}
	// The relays start recording before the first instance starts.
	d := deploy(t, setup{relayServers: true, record: rec})
	wrong := rand.Text()
	for i, n := range d.instances {
		conn := d.mustConnect(i, marshals)
		if _, err := conn.Exec(t.Context(), selectKey, pgx.QueryExecModeSimpleProtocol, simpleMark); err != nil {
			t.Error(err)
		}
		if _, err := conn.Exec(t.Context(), upsert, extendedMark, "1"); err != nil {
			t.Error(err)
		}
		for account, key := range map[string]string{
			marshals:              wrong,
			crews:                 d.keys[marshals],
			"nobody":              d.keys[crews],
			d.keys[crews]:         "", // a key given as the user name
			marshals + "/" + n.id: d.keys[marshals],
		} {
			if _, err := connectTo(t, n.callers, account, key); err == nil {
				t.Errorf("login as %q with the key of another account succeeded", account)
			}
		}
	}
	r := d.startLoad(nil)
	d.awaitLogGrowth(0, 200)
	r.finish()
	for _, mark := range []string{simpleMark, extendedMark} {
		if rec.count(mark) == 0 {
			t.Errorf("recording lacks %q, want all traffic to the servers", mark)
		}
	}
	for name, key := range map[string]string{"of marshals": d.keys[marshals], "of crews": d.keys[crews], "that is wrong": wrong} {
		if n := rec.count(key); n > 0 {
			t.Errorf("key %s was sent on %d connections to servers", name, n)
		}
	}
	t.Logf("%d bytes to servers", rec.size())
}

// largeAnswer is a statement whose answer far exceeds all buffers between server and caller.
const (
	largeAnswer   = "SELECT repeat('x', 10000) FROM generate_series(1, 1000)"
	largeRows     = 1000
	largeRowBytes = 10000
)

// readLarge returns the number of complete rows of the large answer that were received.
func readLarge(t *testing.T, conn *pgx.Conn) (int, error) {
	rows, err := conn.Query(t.Context(), largeAnswer)
	if err != nil {
		return 0, err
	}
	defer rows.Close()
	n := 0
	for rows.Next() {
		var text string
		if err := rows.Scan(&text); err != nil {
			return n, err
		}
		if len(text) != largeRowBytes || strings.Trim(text, "x") != "" {
			t.Errorf("row %d is damaged", n)
		}
		n++
	}
	return n, rows.Err()
}

// Guards against a truncated answer without an error when the caller's connection is cut in the middle
// of it, and against cuts that leak slots or connections or make statements of other callers fail. More
// answers are cut than a server has slots.
func TestCallerCutInLargeAnswer(t *testing.T) {
	const callers, cutsEach = 8, 9
	d := deploy(t, setup{})
	r := d.startLoad(nil)
	path := startRelay(t, d.instances[0].callers)
	path.limitAnswers(largeRows * largeRowBytes / 2)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for range cutsEach {
				conn, err := connectTo(t, path.address(), marshals, d.keys[marshals])
				if err != nil {
					t.Error(err)
					return
				}
				if n, err := readLarge(t, conn); err == nil || n == 0 || n >= largeRows {
					t.Errorf("%d rows of a cut answer, error %v, want some of the rows and an error", n, err)
				}
			}
		})
	}
	running.Wait()
	path.endLimit()
	conn, err := connectTo(t, path.address(), marshals, d.keys[marshals])
	if err != nil {
		t.Fatal(err)
	}
	if n, err := readLarge(t, conn); err != nil || n != largeRows {
		t.Errorf("%d rows of an answer that was not cut, error %v, want all rows", n, err)
	}
	d.awaitLogGrowth(0, 200)
	if c := total(r.finish()); c.NotRun+c.Unknown+c.ConnectFailures > 0 {
		t.Errorf("counts of other callers %+v, want no failures", c)
	}
}
