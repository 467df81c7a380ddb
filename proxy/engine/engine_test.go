package engine

import (
	"context"
	"errors"
	"strconv"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

func (r *rig) connect(parameters ...string) *pgx.Conn {
	r.t.Helper()
	c, err := r.tryConnect(parameters...)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func (r *rig) tryConnect(parameters ...string) (*pgx.Conn, error) {
	url := "postgres://depot:secret@" + r.addr + "/orders?sslmode=disable"
	for _, p := range parameters {
		url += "&" + p
	}
	return pgx.Connect(context.Background(), url)
}

func exec(t testing.TB, c *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := c.Exec(context.Background(), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func queryText(t testing.TB, c *pgx.Conn, sql string, args ...any) string {
	t.Helper()
	var v string
	if err := c.QueryRow(context.Background(), sql, args...).Scan(&v); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return v
}

// wantCode runs sql and checks the SQLSTATE of its error.
func wantCode(t testing.TB, c *pgx.Conn, sql, code string) *pgconn.PgError {
	t.Helper()
	_, err := c.Exec(context.Background(), sql)
	var pg *pgconn.PgError
	if !errors.As(err, &pg) || pg.Code != code {
		t.Fatalf("%s: error %v, want SQLSTATE %s", sql, err, code)
	}
	return pg
}

// Guards against errors of drivers in one of the query execution modes.
func TestDriverModes(t *testing.T) {
	modes := []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe,
		pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol}
	r := newRig(t)
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			c := r.connect()
			for i := range 3 {
				exec(t, c, "insert into t values ($1)", mode, "a"+strconv.Itoa(i))
			}
			if mode == pgx.QueryExecModeSimpleProtocol {
				return
			}
			for _, v := range []string{"b", "c"} {
				if got := queryText(t, c, "select $1", mode, v); got != v {
					t.Errorf("select returned %q, want %q", got, v)
				}
			}
		})
	}
	if n := r.primary.writes.Load(); n != 15 {
		t.Errorf("%d writes on the primary, want 15", n)
	}
	if got := r.rec.last(); got.Outcome != OutcomeOK || got.Server != "p" {
		t.Errorf("last statement reported as %+v, want outcome ok on p", got)
	}
}
