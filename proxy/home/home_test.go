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

// eventTimeout bounds every wait for an event.
const eventTimeout = 20 * time.Second

// fakePool lends connections whose server side is controlled by the test.
type fakePool struct {
	refusal  error
	block    bool          // Acquire blocks until its context ends
	waiting  chan struct{} // receives one value when an Acquire starts to block
	ended    chan struct{} // receives one value when a blocked Acquire ends
	servers  chan net.Conn // server sides of the connections
	released chan bool     // reuse flags of the released connections
	cancels  chan struct{} // receives one value for each cancel request
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
	clientSide, serverSide := net.Pipe()
	p.servers <- serverSide
	return &fakeConn{Conn: clientSide, pool: p, frontend: pgproto3.NewFrontend(clientSide, clientSide)}, nil
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

// instance is a home that serves checkouts.
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
	return engine.AcquireRequest{Target: engine.Target{Server: "s1"}, Account: "a", Weight: 1, Timeout: eventTimeout}
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
	case <-time.After(eventTimeout):
		t.Fatalf("%s: not within %s", what, eventTimeout)
		panic("unreachable")
	}
}

// Guards against a refusal by the home's queue that loses its code or its retry delay in transit.
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
		t.Error("full queue is reported as an unreachable home")
	}
}

// Guards against a request that stays in the home's queue after its caller has canceled it.
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

// Guards against a home that reuses the connection of a statement that timed out.
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
		t.Error("home reused a connection whose statement timed out")
	}
}

// Guards against a statement or its response that is lost or altered in transit.
func TestMessagesPassBothWays(t *testing.T) {
	i := serve(t)
	c := borrow(t, i)
	serverSide := receive(t, "connection", i.pool.servers)
	server := pgproto3.NewBackend(serverSide, serverSide)
	c.Frontend().Send(&pgproto3.Query{String: "SELECT 1"})
	if err := c.Frontend().Flush(); err != nil {
		t.Fatal(err)
	}
	if m, err := server.Receive(); err != nil || m.(*pgproto3.Query).String != "SELECT 1" {
		t.Fatalf("server received message %v, error %v, want SELECT 1", m, err)
	}
	server.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := server.Flush(); err != nil {
		t.Fatal(err)
	}
	if m, err := c.Frontend().Receive(); err != nil || m.(*pgproto3.ReadyForQuery).TxStatus != 'I' {
		t.Fatalf("response %v, error %v, want ReadyForQuery outside a transaction", m, err)
	}
	c.Release(true)
	if !receive(t, "release at the home", i.pool.released) {
		t.Error("home closed a connection that was released for reuse")
	}
}

// Guards against a draining home that ends, or ends a loan, before a running statement has ended.
func TestDrainWaitsForLoans(t *testing.T) {
	i := serve(t)
	c := borrow(t, i)
	drained := drain(t, i, eventTimeout)
	if _, err := newClient(t).Acquire(t.Context(), i.address, request()); !isUnreachable(err) {
		t.Errorf("checkout at a draining home: %v, want an unreachableError", err)
	}
	select {
	case err := <-drained:
		t.Fatalf("drain ended before the loan: %v", err)
	default:
	}
	c.Release(true)
	if !receive(t, "release at the home", i.pool.released) {
		t.Error("loan was ended before its release")
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

// Guards against a drain that an idle transaction delays forever, and against one that ends a running
// statement when the drain timeout has passed.
func TestOverdueLoansEndBetweenStatements(t *testing.T) {
	i := serve(t)
	idle := borrow(t, i)
	idle.EndStatement()
	executing := borrow(t, i)
	drained := drain(t, i, time.Millisecond)
	if receive(t, "end of the idle transaction", i.pool.released) {
		t.Error("home reused the connection of an aborted transaction")
	}
	if err := idle.BeginStatement(t.Context(), eventTimeout); err == nil {
		t.Error("statement began on an ended loan, want an error")
	}
	select {
	case <-i.pool.released:
		t.Error("loan ended while its statement was running")
	default:
	}
	executing.EndStatement()
	receive(t, "end after the statement", i.pool.released)
	if err := receive(t, "end of the drain", drained); err != nil {
		t.Error(err)
	}
}

// fixedLocator returns the first of homes and advances to the next one at each MarkUnreachable.
type fixedLocator struct {
	homes []string
	next  atomic.Int64
}

func (l *fixedLocator) Home(authority.ServerID) (string, bool) {
	address := l.homes[l.next.Load()]
	return address, address == ""
}

func (l *fixedLocator) MarkUnreachable(string) { l.next.Add(1) }

// Guards against statements that fail because a listed home has no configuration yet.
func TestUnreadyHomeIsUnreachable(t *testing.T) {
	i := serve(t)
	var ready atomic.Bool
	i.Ready = ready.Load
	if _, err := newClient(t).Acquire(t.Context(), i.address, request()); !isUnreachable(err) {
		t.Errorf("checkout at a home without configuration: %v, want an unreachableError", err)
	}
	ready.Store(true)
	borrow(t, i).Release(true)
}

// Guards against a refusal to the caller although another home is available, and against a count of
// outstanding connections that is never decremented.
func TestRouterSkipsLeavingAndUnreachableHomes(t *testing.T) {
	leaving, next := serve(t), serve(t)
	leaving.Leave()
	unreachable, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = unreachable.Close()
	r := &Router{
		Locator: &fixedLocator{homes: []string{leaving.address, unreachable.Addr().String(), next.address}},
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
