package database

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
)

// eventTimeout limits every wait for an event in these tests.
const eventTimeout = 20 * time.Second

func testContext(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	t.Cleanup(cancel)
	return ctx
}

func startServer(t testing.TB, c Config) *Server {
	t.Helper()
	c.ID = "s1"
	c.Primary = true
	s, err := Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Kill)
	return s
}

func connect(t testing.TB, address, password string) (*pgx.Conn, error) {
	t.Helper()
	conn, err := pgx.Connect(testContext(t), "postgres://app:"+password+"@"+address+"/kv?sslmode=prefer")
	if err == nil {
		t.Cleanup(func() { _ = conn.Close(context.Background()) })
	}
	return conn, err
}

func mustConnect(t testing.TB, s *Server) *pgx.Conn {
	t.Helper()
	conn, err := connect(t, s.Address(), s.cfg.Password)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

func wantCode(t *testing.T, err error, want string) {
	t.Helper()
	if sqlState(err) != want {
		t.Fatalf("error %v, want SQLSTATE %s", err, want)
	}
}

func waitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventTimeout)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %s waiting for: %s", eventTimeout, what)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against statements that behave differently in the simple and the extended query protocol.
func TestStatements(t *testing.T) {
	steps := []struct {
		sql  string
		args []any
		want string // values joined by a comma, or the SQLSTATE after "!"
	}{
		{"SELECT 1", nil, "1"},
		{"INSERT INTO kv (key, value) VALUES ($1, $2)", []any{"a", "x"}, ""},
		{"INSERT INTO kv VALUES ($1, $2)", []any{"a", "x"}, "!23505"},
		{"select value from kv where key = 'a'", nil, "x"},
		{"UPDATE kv SET value = value || $1 WHERE key = $2 RETURNING value", []any{"y", "a"}, "xy"},
		{"UPDATE kv SET value = 'it''s' WHERE key = $1", []any{"a"}, ""},
		{"INSERT INTO kv VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value RETURNING value", []any{"a", "z"}, "z"},
		{"INSERT INTO kv VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = kv.value || excluded.value RETURNING value", []any{"a", "+"}, "z+"},
		{"INSERT INTO kv VALUES ('b', '1'), ('c', '2')", nil, ""},
		{"SELECT key, value FROM kv", nil, "a,z+,b,1,c,2"},
		{"DELETE FROM kv WHERE key = $1", []any{"b"}, ""},
		{"SELECT value FROM kv WHERE key = $1", []any{"b"}, ""},
		{"SELECT repeat('x', 3) FROM generate_series(1, 2)", nil, "xxx,xxx"},
		{"SELECT pg_sleep(0)", nil, ""},
		{"SHOW transaction_read_only", nil, "off"},
		{"SELECT now()", nil, "!42601"},
		{"DROP TABLE kv", nil, "!42601"},
	}
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
		t.Run(mode.String(), func(t *testing.T) {
			conn := mustConnect(t, startServer(t, Config{}))
			for _, step := range steps {
				got := query(t, conn, step.sql, append([]any{mode}, step.args...))
				if got != step.want {
					t.Errorf("%s: %q, want %q", step.sql, got, step.want)
				}
			}
		})
	}
}

func query(t *testing.T, conn *pgx.Conn, sql string, args []any) string {
	t.Helper()
	rows, err := conn.Query(testContext(t), sql, args...)
	if err != nil {
		return "!" + sqlState(err)
	}
	defer rows.Close()
	var values []string
	for rows.Next() {
		for i, raw := range rows.RawValues() {
			if rows.FieldDescriptions()[i].Format == formatBinary {
				raw = []byte{'0' + raw[len(raw)-1]}
			}
			values = append(values, string(raw))
		}
	}
	if rows.Err() != nil {
		return "!" + sqlState(rows.Err())
	}
	return strings.Join(values, ",")
}

// Guards against writes that are visible outside a transaction before COMMIT, or that survive ROLLBACK.
func TestTransactions(t *testing.T) {
	ctx := testContext(t)
	s := startServer(t, Config{LockTimeout: 50 * time.Millisecond})
	writer, reader := mustConnect(t, s), mustConnect(t, s)
	tx, err := writer.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO kv VALUES ('k', 'v')"); err != nil {
		t.Fatal(err)
	}
	if got := query(t, writer, "SELECT value FROM kv WHERE key = 'k'", nil); got != "v" {
		t.Errorf("read in the own transaction = %q, want v", got)
	}
	if got := query(t, reader, "SELECT value FROM kv WHERE key = 'k'", nil); got != "" {
		t.Errorf("read in another session = %q, want no uncommitted value", got)
	}
	_, err = reader.Exec(ctx, "INSERT INTO kv VALUES ('k', 'w')")
	wantCode(t, err, codeLockNotAvailable)
	if err := tx.Rollback(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := reader.Exec(ctx, "INSERT INTO kv VALUES ('k', 'w')"); err != nil {
		t.Errorf("lock not released by rollback: %v", err)
	}
	if lsn := s.State().LSN; lsn != 1 {
		t.Errorf("LSN %d after one commit, want 1", lsn)
	}

	tx, err = writer.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	if err != nil {
		t.Fatal(err)
	}
	_, err = tx.Exec(ctx, "DELETE FROM kv WHERE key = 'k'")
	wantCode(t, err, codeReadOnly)
	_, err = tx.Exec(ctx, "SELECT 1")
	wantCode(t, err, codeFailedTransaction)
}

// Guards against a pipeline that continues after an error, or that keeps the writes made before it.
func TestPipelineError(t *testing.T) {
	ctx := testContext(t)
	s := startServer(t, Config{})
	conn := mustConnect(t, s).PgConn()
	p := conn.StartPipeline(ctx)
	p.SendQueryParams("INSERT INTO kv VALUES ('a', '1')", nil, nil, nil, nil)
	p.SendQueryParams("INSERT INTO kv VALUES ('a', '2')", nil, nil, nil, nil)
	p.SendQueryParams("INSERT INTO kv VALUES ('b', '3')", nil, nil, nil, nil)
	if err := p.Sync(); err != nil {
		t.Fatal(err)
	}
	p.SendQueryParams("INSERT INTO kv VALUES ('c', '4')", nil, nil, nil, nil)
	if err := p.Sync(); err != nil {
		t.Fatal(err)
	}
	wantCode(t, p.Close(), codeUniqueViolation)
	rows := s.Rows()
	if len(rows) != 1 || rows["c"] != "4" {
		t.Errorf("rows %v, want only those after the first Sync", rows)
	}
}

// Guards against a cancel request that is lost or that cancels a later statement.
func TestCancel(t *testing.T) {
	ctx := testContext(t)
	s := startServer(t, Config{Slots: 1})
	conn := mustConnect(t, s)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "SELECT pg_sleep(3600)")
		done <- err
	}()
	waitFor(t, "the statement runs", func() bool { return len(s.slots) == 1 })
	if err := conn.PgConn().CancelRequest(ctx); err != nil {
		t.Fatal(err)
	}
	wantCode(t, <-done, codeQueryCanceled)
	if _, err := conn.Exec(ctx, "SELECT 1"); err != nil {
		t.Error(err)
	}
}

// Guards against limits that are not enforced, and against limits that block control calls.
func TestLimits(t *testing.T) {
	ctx := testContext(t)
	s := startServer(t, Config{MaxConnections: 1, Slots: 1, User: "app", Password: "secret"})
	_, err := connect(t, s.Address(), "wrong")
	wantCode(t, err, codeInvalidPassword)
	conn := mustConnect(t, s)
	_, err = connect(t, s.Address(), "secret")
	wantCode(t, err, codeTooManyConnections)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "SELECT pg_sleep(0.05)")
		done <- err
	}()
	client, err := dbgroup.NewClient(dbgroup.Config{Server: "s1", Address: s.Address(), User: "app", Password: "secret"})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if _, err := client.Probe(ctx); err != nil {
		t.Error(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against large results that are buffered in memory instead of sent in parts with back pressure.
func TestLargeResult(t *testing.T) {
	ctx := testContext(t)
	conn := mustConnect(t, startServer(t, Config{}))
	rows, err := conn.Query(ctx, "SELECT repeat('x', $1) FROM generate_series(1, $2)", 10_000, 2_000)
	if err != nil {
		t.Fatal(err)
	}
	bytes := 0
	for rows.Next() {
		bytes += len(rows.RawValues()[0])
	}
	if rows.Err() != nil || bytes != 20_000_000 {
		t.Errorf("read %d bytes, error %v; want 20000000 bytes and no error", bytes, rows.Err())
	}
}
