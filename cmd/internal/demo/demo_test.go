package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"

	"github.com/jackc/pgx/v5"
)

// freePair returns the addresses of two adjacent free ports. It searches below the ephemeral port range,
// in which other tests open thousands of connections.
func freePair(t *testing.T) (first, second string) {
	t.Helper()
	const low, span = 10_000, 20_000
	for range 200 {
		port := low + rand.IntN(span)
		first, second = fmt.Sprintf("127.0.0.1:%d", port), fmt.Sprintf("127.0.0.1:%d", port+1)
		if isFree(first) && isFree(second) {
			return first, second
		}
	}
	t.Fatal("no two adjacent ports are free")
	return "", ""
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

const (
	upsert      = "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value"
	selectValue = "SELECT value FROM kv WHERE key = $1"
)

// Guards against a demo that reports a violation, omits a figure, or does not serve on its addresses after
// the report.
func TestDemo(t *testing.T) {
	first, second := freePair(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := Config{Duration: minDuration, Seed: 1, Listen: first}
	c.OnReport = func(*Report) error {
		go func() {
			defer cancel()
			readBack(t, first, second)
		}()
		return nil
	}
	report, err := Run(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	if report.HasViolations() {
		t.Errorf("violations: %v, want none", report.Violations)
	}
	checkFields(t, report)
}

// readBack writes through the first address and reads each value back through the second.
func readBack(t *testing.T, first, second string) {
	const url = "postgres://" + VisitorAccount + ":" + VisitorKey + "@%s/orders?sslmode=disable"
	ctx := context.Background()
	writer, err := pgx.Connect(ctx, fmt.Sprintf(url, first))
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = writer.Close(ctx) }()
	reader, err := pgx.Connect(ctx, fmt.Sprintf(url, second))
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = reader.Close(ctx) }()
	for i := range 100 {
		if _, err := writer.Exec(ctx, upsert, "visitor", fmt.Sprint(i)); err != nil {
			t.Error(err)
			return
		}
		var got string
		if err := reader.QueryRow(ctx, selectValue, "visitor").Scan(&got); err != nil || got != fmt.Sprint(i) {
			t.Errorf("read %q after writing %d: %v", got, i, err)
			return
		}
	}
}

func checkFields(t *testing.T, r *Report) {
	t.Helper()
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{
		"statements", "replica_read_share", "stale_reads", "write_gap_ms", "lost_acked_writes",
		"worst_account_share", "refused_inside_rate", "admitted_over_rate", "false_not_run",
		"key_withdrawal_ms", "violations", "baseline",
	} {
		if _, ok := fields[name]; !ok {
			t.Errorf("JSON report lacks the field %s", name)
		}
	}
}
