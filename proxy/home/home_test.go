package home

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/home/homepb"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
)

// eventually bounds every wait for an event.
const eventually = 20 * time.Second

// fakePool lends connections whose other end the test holds.
type fakePool struct {
	refusal  error
	block    bool          // Acquire waits for the end of its context
	waiting  chan struct{} // takes one value for each blocked Acquire that has begun
	ended    chan struct{} // takes one value for each blocked Acquire that has ended
	servers  chan net.Conn // the other ends
	released chan bool     // the reuse flags
	cancels  chan struct{} // cancel requests
}

func newFakePool() *fakePool {
	return &fakePool{
		waiting: make(chan struct{}, 1), ended: make(chan struct{}, 1),
		servers: make(chan net.Conn, 4), released: make(chan bool, 4),
		cancels: make(chan struct{}, 4),
	}
}

func (p *fakePool) Acquire(ctx context.Context, _ engine.AcquireRequest) (engine.Conn, error) {
	if p.block {
		p.waiting <- struct{}{}
		<-ctx.Done()
		p.ended <- struct{}{}
	}
	if p.refusal != nil {
		return nil, p.refusal
	}
	near, far := net.Pipe()
	p.servers <- far
	return &fakeConn{Conn: near, pool: p, frontend: pgproto3.NewFrontend(near, near)}, nil
}

type fakeConn struct {
	net.Conn
	pool     *fakePool
	frontend *pgproto3.Frontend
}

func (c *fakeConn) Frontend() *pgproto3.Frontend                        { return c.frontend }
func (c *fakeConn) EndStatement()                                       {}
func (c *fakeConn) BeginStatement(context.Context, time.Duration) error { return nil }
func (c *fakeConn) Release(reuse bool)                                  { c.pool.released <- reuse }

func (c *fakeConn) Cancel(context.Context) error {
	c.pool.cancels <- struct{}{}
	return nil
}

func (c *fakeConn) Raw() net.Conn { return c.Conn }

// instance is a served home.
type instance struct {
	*Server
	pool    *fakePool
	address string
}

func serve(t *testing.T) *instance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	i := &instance{pool: newFakePool(), address: listener.Addr().String()}
	i.Server = NewServer(i.pool)
	mux := drpcmux.New()
	if err := homepb.DRPCRegisterHomes(mux, i.Server); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = drpcserver.New(mux).Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return i
}

func newClient(t *testing.T) *Client {
	t.Helper()
	calls := peer.NewClient(peer.ClientConfig{})
	t.Cleanup(func() { _ = calls.Close() })
	return NewClient(calls)
}

func request() engine.AcquireRequest {
	return engine.AcquireRequest{Target: engine.Target{Server: "s1"}, Account: "a", Weight: 1, Timeout: eventually}
}

func borrow(t *testing.T, i *instance) engine.Conn {
	t.Helper()
	c, err := newClient(t).Acquire(t.Context(), i.address, request())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// receive returns the next value of c.
func receive[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(eventually):
		t.Fatalf("%s: not within %s", what, eventually)
		panic("unreachable")
	}
}

// Guards against a refusal of the home's queue losing its code or its time to retry on the way.
func TestCheckoutRefused(t *testing.T) {
	i := serve(t)
	i.pool.refusal = outcome.New(outcome.NotRun, outcome.CodeInsufficientResources, "full", "wait").WithRetryAfter(7 * time.Millisecond)
	_, err := newClient(t).Acquire(t.Context(), i.address, request())
	e := outcome.As(err)
	if e == nil || e.Kind != outcome.NotRun || e.Code != outcome.CodeInsufficientResources || e.RetryAfter != 7*time.Millisecond {
		t.Errorf("error %#v, want the home's refusal", err)
	}
	var unreachable *unreachableError
	if errors.As(err, &unreachable) {
		t.Error("a full queue counts as an unreachable home")
	}
}

// Guards against a queue place that stays at the home when the caller has gone.
func TestCanceledCheckoutLeavesTheQueue(t *testing.T) {
	i := serve(t)
	i.pool.block = true
	i.pool.refusal = outcome.New(outcome.NotRun, outcome.CodeInsufficientResources, "given up", "retry")
	ctx, cancel := context.WithCancel(t.Context())
	refused := make(chan error, 1)
	client := newClient(t)
	go func() {
		_, err := client.Acquire(ctx, i.address, request())
		refused <- err
	}()
	receive(t, "request at the home", i.pool.waiting)
	cancel()
	if e := outcome.As(receive(t, "answer", refused)); e == nil || e.Kind != outcome.NotRun {
		t.Errorf("error %v, want not run", e)
	}
	receive(t, "end of the wait at the home", i.pool.ended)
}

// Guards against a connection whose statement timed out being reused by the home.
func TestConnectionIsNotReusedAfterDeadline(t *testing.T) {
	i := serve(t)
	c := borrow(t, i)
	if err := c.SetDeadline(time.Now().Add(10 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Frontend().Receive(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v, want a deadline error", err)
	}
	c.Release(true)
	if receive(t, "release at the home", i.pool.released) {
		t.Error("the home reuses a connection whose statement timed out")
	}
}

// Guards against a statement or its answer being lost or changed on the way.
func TestMessagesPassBothWays(t *testing.T) {
	i := serve(t)
	c := borrow(t, i)
	far := receive(t, "connection", i.pool.servers)
	server := pgproto3.NewBackend(far, far)
	c.Frontend().Send(&pgproto3.Query{String: "SELECT 1"})
	if err := c.Frontend().Flush(); err != nil {
		t.Fatal(err)
	}
	if m, err := server.Receive(); err != nil || m.(*pgproto3.Query).String != "SELECT 1" {
		t.Fatalf("message %v, error %v at the server", m, err)
	}
	server.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := server.Flush(); err != nil {
		t.Fatal(err)
	}
	if m, err := c.Frontend().Receive(); err != nil || m.(*pgproto3.ReadyForQuery).TxStatus != 'I' {
		t.Fatalf("answer %v, error %v", m, err)
	}
	c.Release(true)
	if !receive(t, "release at the home", i.pool.released) {
		t.Error("the home drops a connection that was given back in order")
	}
}

// Guards against a home that ends, or cuts a loan, before a statement in execution has ended.
func TestDrainWaitsForLoans(t *testing.T) {
	i := serve(t)
	c := borrow(t, i)
	drained := drain(t, i, eventually)
	if _, err := newClient(t).Acquire(t.Context(), i.address, request()); !isUnreachable(err) {
		t.Errorf("checkout at a draining home: %v, want one that leads to the next home", err)
	}
	select {
	case err := <-drained:
		t.Fatalf("the drain ended before the loan: %v", err)
	default:
	}
	c.Release(true)
	if !receive(t, "release at the home", i.pool.released) {
		t.Error("the loan was cut")
	}
	if err := receive(t, "end of the drain", drained); err != nil {
		t.Error(err)
	}
}

func drain(t *testing.T, i *instance, timeout time.Duration) <-chan error {
	t.Helper()
	i.Leave()
	drained := make(chan error, 1)
	go func() { drained <- i.Drain(t.Context(), timeout) }()
	return drained
}

func isUnreachable(err error) bool {
	var unreachable *unreachableError
	return errors.As(err, &unreachable)
}

// Guards against a drain that an idle transaction holds up for ever, and against one that ends a
// statement in execution when the drain timeout has passed.
func TestOverdueLoansEndBetweenStatements(t *testing.T) {
	i := serve(t)
	idle := borrow(t, i)
	idle.EndStatement()
	executing := borrow(t, i)
	drained := drain(t, i, time.Millisecond)
	if receive(t, "end of the idle transaction", i.pool.released) {
		t.Error("the home reuses the connection of an ended transaction")
	}
	if err := idle.BeginStatement(t.Context(), eventually); err == nil {
		t.Error("a statement began on an ended loan")
	}
	select {
	case <-i.pool.released:
		t.Error("a loan ended during its statement")
	default:
	}
	executing.EndStatement()
	receive(t, "end after the statement", i.pool.released)
	if err := receive(t, "end of the drain", drained); err != nil {
		t.Error(err)
	}
}

// fixedLocator names homes in order.
type fixedLocator struct {
	homes []string
	next  atomic.Int64
}

func (l *fixedLocator) Home(authority.ServerID) (string, bool) {
	address := l.homes[l.next.Load()]
	return address, address == ""
}

func (l *fixedLocator) MarkUnreachable(string) { l.next.Add(1) }

// Guards against statements that fail while a listed home has no configuration yet.
func TestUnreadyHomeIsUnreachable(t *testing.T) {
	i := serve(t)
	var ready atomic.Bool
	i.Ready = ready.Load
	if _, err := newClient(t).Acquire(t.Context(), i.address, request()); !isUnreachable(err) {
		t.Errorf("checkout at a home without configuration: %v", err)
	}
	ready.Store(true)
	borrow(t, i).Release(true)
}

// Guards against a refusal to the caller while another home is there, and against a count of
// outstanding statements that never goes down.
func TestRouterSkipsLeavingAndDeadHomes(t *testing.T) {
	leaving, next := serve(t), serve(t)
	leaving.Leave()
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = dead.Close()
	r := &Router{
		Locator: &fixedLocator{homes: []string{leaving.address, dead.Addr().String(), next.address}},
		Local:   newFakePool(), Remote: newClient(t),
	}
	c, err := r.Acquire(t.Context(), request())
	if err != nil {
		t.Fatal(err)
	}
	if n := r.Outstanding("s1"); n != 1 {
		t.Errorf("%d outstanding, want 1", n)
	}
	c.Release(true)
	receive(t, "release at the next home", next.pool.released)
	if n := r.Outstanding("s1"); n != 0 {
		t.Errorf("%d outstanding after the release, want 0", n)
	}
}
