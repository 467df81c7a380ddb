package engine

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
)

// halfOpen connects n callers that send nothing, and waits until the server has accepted them.
func (r *rig) halfOpen(n int) []net.Conn {
	r.t.Helper()
	var conns []net.Conn
	for range n {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			r.t.Fatal(err)
		}
		r.t.Cleanup(func() { _ = c.Close() })
		conns = append(conns, c)
	}
	waitFor(r.t, func() bool {
		r.srv.mu.Lock()
		defer r.srv.mu.Unlock()
		return len(r.srv.starting) >= n
	})
	return conns
}

// Guards against an unlimited number of half-open start-ups, against a refusal that is late or lacks an error
// message where one is possible, and against start-ups that block cancel requests and sessions.
func TestStartupsAreBounded(t *testing.T) {
	r := newRig(t, func(c *Config, _ *manifest.Route) { c.MaxStartups, c.TLS = 1, newTestTLS(t) })
	c := r.connect()
	waiting := r.halfOpen(1)
	var pg *pgconn.PgError
	if _, err := r.tryConnect(); !errors.As(err, &pg) || pg.Code != codeTooManyConnections || !strings.Contains(pg.Detail, retryAfterDetail) {
		t.Errorf("caller without TLS got %v, want %s with a retry-after", err, codeTooManyConnections)
	}
	secure, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	sendRaw(t, secure, &pgproto3.SSLRequest{})
	if b, err := io.ReadAll(secure); err != nil || len(b) > 0 {
		t.Errorf("caller that requested TLS got %q, %v; want a closed connection", b, err)
	}
	for range 2 {
		if err := <-r.rec.refused; !outcome.Is(err, outcome.NotRun) {
			t.Errorf("refusal reported as %v, want kind not run", err)
		}
	}
	failed := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "hang")
		failed <- err
	}()
	<-r.primary.running
	if err := c.PgConn().CancelRequest(context.Background()); err != nil {
		t.Errorf("cancel request: %v", err)
	}
	if err := <-failed; !errors.As(err, &pg) || pg.Code != outcome.CodeQueryCanceled {
		t.Errorf("canceled statement ended with %v, want query canceled", err)
	}
	_ = waiting[0].Close()
	<-r.rec.refused
	r.connect()
}

// Guards against an unlimited number of handshakes that use the processor at the same time, and against slow
// callers that delay the handshakes of others.
func TestHandshakesAreBounded(t *testing.T) {
	const limit, callers = 2, 20
	var running, maxRunning atomic.Int64
	config := newTestTLS(t)
	cert := &config.Certificates[0]
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		time.Sleep(time.Millisecond)
		running.Add(-1)
		return cert, nil
	}
	config.Certificates = nil
	r := newRig(t, func(c *Config, _ *manifest.Route) { c.MaxHandshakes, c.TLS = limit, config })
	for _, c := range r.halfOpen(limit + 1) {
		sendRaw(t, c, &pgproto3.SSLRequest{})
		if _, err := c.Write([]byte{0x16, 0x03, 0x01}); err != nil { // the start of a TLS record
			t.Fatal(err)
		}
	}
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			c, err := pgx.Connect(context.Background(), "postgres://depot:secret@"+r.addr+"/orders?sslmode=require")
			if err != nil {
				t.Errorf("connect with TLS: %v", err)
				return
			}
			_ = c.Close(context.Background())
		})
	}
	all.Wait()
	if n := maxRunning.Load(); n > limit {
		t.Errorf("%d handshakes ran at the same time, want at most %d", n, limit)
	}
}

// Guards against new handshakes that run before started ones, which would waste the work done.
func TestStartedHandshakesGoFirst(t *testing.T) {
	g := handshakeGate{freeSlots: 1}
	if g.join(false) != nil {
		t.Fatal("join did not grant a free slot")
	}
	unstarted, started := g.join(false), g.join(true)
	for i, next := range []chan struct{}{started, unstarted} {
		g.leave()
		select {
		case <-next:
		default:
			t.Fatalf("slot %d was not granted to the expected handshake", i+1)
		}
	}
	if g.leave(); g.join(false) != nil {
		t.Error("join did not grant the free slot, want all slots available again")
	}
}
