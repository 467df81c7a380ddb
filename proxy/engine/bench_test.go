package engine

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
)

const (
	idleSessions = 2000
	// maxIdleBytes is the target for one idle connection without TLS, excluding kernel buffers.
	maxIdleBytes = 16 << 10
)

// openIdle opens a session and runs one statement. It uses as little memory as possible on the caller's side,
// which is counted as the session's.
func openIdle(tb testing.TB, addr string, scratch []byte) net.Conn {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{"user": "depot", "database": "orders"}}
	sendRaw(tb, c, start)
	awaitReady(tb, c, scratch)
	sendRaw(tb, c, &pgproto3.Query{String: "select rows 10"})
	awaitReady(tb, c, scratch)
	return c
}

func sendRaw(tb testing.TB, c net.Conn, m pgproto3.FrontendMessage) {
	b, err := m.Encode(nil)
	if err != nil {
		tb.Fatal(err)
	}
	if _, err := c.Write(b); err != nil {
		tb.Fatal(err)
	}
}

// awaitReady reads up to ReadyForQuery, the only message here that ends in these six bytes.
func awaitReady(tb testing.TB, c net.Conn, scratch []byte) {
	n := 0
	for {
		m, err := c.Read(scratch[n:])
		if err != nil {
			tb.Fatal(err)
		}
		n += m
		if n >= 6 && string(scratch[n-6:n-1]) == "Z\x00\x00\x00\x05" {
			return
		}
	}
}

func usedBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// Guards against idle sessions that keep buffers: an instance has to hold many sessions.
func TestIdleMemory(t *testing.T) {
	r := newRig(t, func(_ *Config, route *manifest.Route) { route.Open = true })
	scratch := make([]byte, 64<<10)
	conns := make([]net.Conn, 0, idleSessions)
	before := usedBytes()
	for range idleSessions {
		conns = append(conns, openIdle(t, r.addr, scratch))
	}
	perSession := (usedBytes() - before) / idleSessions
	t.Logf("%d bytes per idle session, including the caller's side", perSession)
	if perSession > maxIdleBytes {
		t.Errorf("idle session takes %d bytes, want at most %d", perSession, maxIdleBytes)
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

func benchmarkStatement(b *testing.B, run func(c *pgx.Conn) error) {
	r := newRig(b)
	c := r.connect()
	b.ReportAllocs()
	for b.Loop() {
		if err := run(c); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRead measures a prepared read through the engine, including pgx and the fake server.
func BenchmarkRead(b *testing.B) {
	benchmarkStatement(b, func(c *pgx.Conn) error {
		var v string
		return c.QueryRow(context.Background(), "select $1", "x").Scan(&v)
	})
}

// BenchmarkEngineRead measures a simple read with raw messages, including the fake server.
func BenchmarkEngineRead(b *testing.B) {
	r := newRig(b, func(_ *Config, route *manifest.Route) { route.Open = true })
	scratch := make([]byte, 64<<10)
	c := openIdle(b, r.addr, scratch)
	defer c.Close()
	raw, _ := (&pgproto3.Query{String: "select rows 0"}).Encode(nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(raw); err != nil {
			b.Fatal(err)
		}
		awaitReady(b, c, scratch)
	}
}

// BenchmarkFakeServer measures the same exchange without the engine, as the baseline.
func BenchmarkFakeServer(b *testing.B) {
	s := startFake(b, "p")
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, 13)); err != nil {
		b.Fatal(err)
	}
	scratch := make([]byte, 64<<10)
	raw, _ := (&pgproto3.Query{String: "select rows 0"}).Encode(nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(raw); err != nil {
			b.Fatal(err)
		}
		awaitReady(b, c, scratch)
	}
}
