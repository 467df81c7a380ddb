package engine

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/selfsigned"
)

// dialRaw opens a connection with a deadline, so that a blocked server fails the test.
func (r *rig) dialRaw() net.Conn {
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// login runs the start-up with raw messages.
func (r *rig) login() (net.Conn, *pgproto3.Frontend) {
	c := r.dialRaw()
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{"user": "depot", "database": "orders"}})
	f.Send(&pgproto3.PasswordMessage{Password: "secret"})
	if err := f.Flush(); err != nil {
		r.t.Fatal(err)
	}
	receiveUntil[*pgproto3.ReadyForQuery](r.t, f)
	return c, f
}

func receiveUntil[M pgproto3.BackendMessage](t testing.TB, f *pgproto3.Frontend) M {
	t.Helper()
	for {
		m, err := f.Receive()
		if err != nil {
			t.Fatalf("no %T: %v", *new(M), err)
		}
		if found, ok := m.(M); ok {
			return found
		}
	}
}

// Guards against accepting malformed, oversized and foreign start-up packets, and against crashes by them.
func TestMalformedStartup(t *testing.T) {
	r := newRig(t, func(c *Config, _ *manifest.Route) { c.MaxStartupSize = 500 })
	packets := map[string][]byte{
		"http":           []byte("GET / HTTP/1.1\r\n\r\n"),
		"oversized":      binary.BigEndian.AppendUint32(nil, 600),
		"negative":       {0xff, 0xff, 0xff, 0xff, 0, 3, 0, 0},
		"too short":      {0, 0, 0, 4},
		"protocol 2":     {0, 0, 0, 9, 0, 2, 0, 0, 0},
		"no terminator":  {0, 0, 0, 12, 0, 3, 0, 0, 'u', 's', 'e', 'r'},
		"odd parameters": {0, 0, 0, 11, 0, 3, 0, 0, 'u', 0, 0},
	}
	for name, packet := range packets {
		t.Run(name, func(t *testing.T) {
			c := r.dialRaw()
			_, _ = c.Write(packet)
			f := pgproto3.NewFrontend(c, c)
			if e := receiveUntil[*pgproto3.ErrorResponse](t, f); e.Code != outcome.CodeProtocolViolation || e.Severity != "FATAL" {
				t.Errorf("answer is %s %s, want FATAL and a protocol violation", e.Severity, e.Code)
			}
		})
	}
}

// Guards against callers that hold a connection forever by stopping in the middle of the start-up.
func TestHalfOpenStartup(t *testing.T) {
	r := newRig(t, func(c *Config, _ *manifest.Route) { c.StartupTimeout = 50 * time.Millisecond })
	for _, sent := range [][]byte{nil, {0, 0}, {0, 0, 0, 100, 0, 3}, {0, 0, 0, 8, 4, 210, 22, 47}} {
		c := r.dialRaw()
		_, _ = c.Write(sent)
		if _, err := io.Copy(io.Discard, c); err != nil {
			t.Errorf("after %d bytes: %v, want a closed connection", len(sent), err)
		}
	}
}

// Guards against accepting a wrong key, an unknown route or a caller without TLS.
func TestAuthentication(t *testing.T) {
	r := newRig(t)
	for url, code := range map[string]string{
		"postgres://depot:wrong@" + r.addr + "/orders?sslmode=disable":  outcome.CodeInvalidPassword,
		"postgres://depot:secret@" + r.addr + "/absent?sslmode=disable": outcome.CodeUndefinedDatabase,
	} {
		if _, err := pgx.Connect(context.Background(), url); err == nil || !strings.Contains(err.Error(), code) {
			t.Errorf("%s: %v, want SQLSTATE %s", url, err, code)
		}
		if e := outcome.As(<-r.rec.refused); e == nil || e.Code != code {
			t.Errorf("refusal reported as %v, want SQLSTATE %s", e, code)
		}
	}
	secure := newRig(t, func(c *Config, _ *manifest.Route) {
		c.AllowPlain = false
		c.TLS = newTestTLS(t)
	})
	if _, err := secure.tryConnect(); err == nil || !strings.Contains(err.Error(), outcome.CodeInvalidAuthorization) {
		t.Errorf("connection without TLS ended with %v, want an authorization error", err)
	}
	c, err := pgx.Connect(context.Background(), "postgres://depot:secret@"+secure.addr+"/orders?sslmode=require")
	if err != nil {
		t.Fatal(err)
	}
	exec(t, c, "insert a")
	_ = c.Close(context.Background())
}

func newTestTLS(t testing.TB) *tls.Config {
	pair, err := selfsigned.New()
	if err != nil {
		t.Fatal(err)
	}
	server, _, err := pair.TLSConfigs()
	if err != nil {
		t.Fatal(err)
	}
	return server
}

// Guards against accepting malformed and oversized messages after start-up.
func TestMalformedMessages(t *testing.T) {
	r := newRig(t, func(c *Config, _ *manifest.Route) { c.MaxMessageSize = 1000 })
	cases := map[string]struct {
		sent []byte
		code string
	}{
		"unknown type": {[]byte{'!', 0, 0, 0, 4}, outcome.CodeProtocolViolation},
		"short length": {[]byte{'Q', 0, 0, 0, 1}, outcome.CodeProtocolViolation},
		"oversized":    {[]byte{'Q', 0, 1, 0, 0}, codeProgramLimitExceeded},
		"no end":       {[]byte{'Q', 0, 0, 0, 5, 'x'}, outcome.CodeProtocolViolation},
		"bad bind":     {[]byte{'B', 0, 0, 0, 8, 0, 0, 9, 9}, outcome.CodeProtocolViolation},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn, f := r.login()
			_, _ = conn.Write(c.sent)
			if e := receiveUntil[*pgproto3.ErrorResponse](t, f); e.Code != c.code {
				t.Errorf("answer is %s, want %s", e.Code, c.code)
			}
		})
	}
}

// Guards against an invalid pipeline that runs the statements before the error, or whose Sync is skipped.
func TestPipelineWithUnknownStatement(t *testing.T) {
	r := newRig(t)
	_, f := r.login()
	f.Send(&pgproto3.Parse{Query: "insert a"})
	f.Send(&pgproto3.Bind{})
	f.Send(&pgproto3.Execute{})
	f.Send(&pgproto3.Bind{PreparedStatement: "absent"})
	f.Send(&pgproto3.Execute{})
	f.Send(&pgproto3.Sync{})
	f.Send(&pgproto3.Query{String: "insert b"})
	_ = f.Flush()
	if e := receiveUntil[*pgproto3.ErrorResponse](t, f); e.Code != codeInvalidStatementName {
		t.Errorf("answer is %s, want an invalid statement name", e.Code)
	}
	receiveUntil[*pgproto3.ReadyForQuery](t, f)
	receiveUntil[*pgproto3.CommandComplete](t, f)
	if got := r.primary.executed(); len(got) != 1 || got[0] != "insert b" {
		t.Errorf("executed %q, want only the statement after the Sync", got)
	}
}

// Guards against blocking drivers that prepare with Flush instead of Sync.
func TestFlushAfterDescribe(t *testing.T) {
	r := newRig(t)
	_, f := r.login()
	f.Send(&pgproto3.Parse{Name: "s", Query: "select $1"})
	f.Send(&pgproto3.Describe{ObjectType: 'S', Name: "s"})
	f.Send(&pgproto3.Flush{})
	_ = f.Flush()
	receiveUntil[*pgproto3.RowDescription](t, f)
	f.Send(&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("x")}})
	f.Send(&pgproto3.Flush{})
	_ = f.Flush()
	receiveUntil[*pgproto3.ErrorResponse](t, f)
	f.Send(&pgproto3.Execute{})
	f.Send(&pgproto3.Sync{})
	f.Send(&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("x")}})
	f.Send(&pgproto3.Execute{})
	f.Send(&pgproto3.Sync{})
	_ = f.Flush()
	receiveUntil[*pgproto3.ReadyForQuery](t, f)
	if row := receiveUntil[*pgproto3.DataRow](t, f); string(row.Values[0]) != "x" {
		t.Errorf("read returned %q, want x", row.Values)
	}
}

// Guards against more sessions than MaxSessions.
func TestSessionLimit(t *testing.T) {
	r := newRig(t, func(c *Config, _ *manifest.Route) { c.MaxSessions = 1 })
	first := r.connect()
	if _, err := r.tryConnect(); err == nil || !strings.Contains(err.Error(), codeTooManyConnections) {
		t.Errorf("second session: %v, want SQLSTATE %s", err, codeTooManyConnections)
	}
	_ = first.Close(context.Background())
	<-r.rec.closed
	r.connect()
}

// Guards against callers that hold buffers forever by stopping in the middle of a message or pipeline.
func TestHalfSentRequest(t *testing.T) {
	r := newRig(t, func(c *Config, _ *manifest.Route) { c.ReceiveTimeout = 30 * time.Millisecond })
	parse, _ := (&pgproto3.Parse{Query: "select 1"}).Encode(nil)
	for _, sent := range [][]byte{{'Q', 0, 0}, {'Q', 0, 0, 0, 100, 'x'}, parse} {
		conn, f := r.login()
		_, _ = conn.Write(sent)
		if e := receiveUntil[*pgproto3.ErrorResponse](t, f); e.Code != outcome.CodeConnectionFailure {
			t.Errorf("after %q: answer is %s, want a connection failure", sent, e.Code)
		}
	}
}

// Guards against an endless pipeline that exhausts the memory.
func TestPipelineLimit(t *testing.T) {
	r := newRig(t, func(c *Config, _ *manifest.Route) { c.MaxPipelineSize = 5000 })
	_, f := r.login()
	for range 100 {
		f.Send(&pgproto3.Parse{Query: "select '" + strings.Repeat("x", 100) + "'"})
	}
	f.Send(&pgproto3.Sync{})
	_ = f.Flush()
	if e := receiveUntil[*pgproto3.ErrorResponse](t, f); e.Code != codeProgramLimitExceeded {
		t.Errorf("answer is %s, want a program limit error", e.Code)
	}
	receiveUntil[*pgproto3.ReadyForQuery](t, f)
}

// Guards against a caller that holds a server's connection by never reading.
func TestCallerThatNeverReads(t *testing.T) {
	r := newRig(t, func(c *Config, _ *manifest.Route) { c.WriteTimeout = 50 * time.Millisecond })
	_, f := r.login()
	f.Send(&pgproto3.Query{String: "select rows 100000"})
	_ = f.Flush()
	if err := <-r.rec.closed; err == nil {
		t.Error("session ended without an error, want a write timeout")
	}
	waitFor(t, func() bool { _, _, inUse := r.pool.counts(); return inUse == 0 })
}

// Guards against a decoder that consumes bytes of the next message, or decodes differently than without the
// pooled buffer.
func FuzzInbound(f *testing.F) {
	f.Add([]byte("Q\x00\x00\x00\x06a\x00S\x00\x00\x00\x04"), uint8(3))
	f.Add([]byte("Q\x00\x00\x00\x01"), uint8(1))
	f.Add([]byte("P\x00\x00\x00\x09s\x00q\x00\x00\x00X\x00\x00\x00\x04"), uint8(200))
	f.Fuzz(func(t *testing.T, data []byte, chunk uint8) {
		if len(data) == 0 {
			return
		}
		plain := pgproto3.NewBackend(bytes.NewReader(data), io.Discard)
		plain.SetMaxBodyLen(10_000)
		src := &chunkReader{data: data[1:], size: int(chunk) + 1}
		in := getInbound(src, data[0], 10_000)
		for {
			want, wantErr := plain.Receive()
			got, err := in.receive()
			if (err == nil) != (wantErr == nil) {
				t.Fatalf("error %v, want %v", err, wantErr)
			}
			if err != nil {
				return
			}
			a, _ := want.Encode(nil)
			b, _ := got.Encode(nil)
			if !bytes.Equal(a, b) {
				t.Fatalf("message %q, want %q", b, a)
			}
			if in.remaining != 0 {
				t.Fatalf("%d bytes of the message remain, want 0", in.remaining)
			}
		}
	})
}

type chunkReader struct {
	data []byte
	size int
}

func (c *chunkReader) Read(p []byte) (int, error) {
	if len(c.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), c.size)], c.data)
	c.data = c.data[n:]
	return n, nil
}
