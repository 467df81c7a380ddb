package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
	"github.com/cyclamenstile/cyclamenstile/platform"
)

// faultyCaller and faultyServer panic on a message, as a decoder with a fault would.
type faultyCaller struct {
	CallerCodec
}

func (c faultyCaller) ReadStatement() (sessionstate.Statement, error) {
	stmt, err := c.CallerCodec.ReadStatement()
	if stmt.ID == "poison" {
		panic("caller's message")
	}
	return stmt, err
}

type faultyServer struct {
	ServerCodec
	poisoned bool
}

func (s *faultyServer) Query(stmt sessionstate.Statement, after position.Position) {
	s.poisoned = stmt.ID == "w3"
	s.ServerCodec.Query(stmt, after)
}

func (s *faultyServer) Receive() (sessionstate.Reply, error) {
	if s.poisoned {
		panic("server's message")
	}
	return s.ServerCodec.Receive()
}

// Guards against one message that takes the process, and with it all sessions, down; against a connection to a server that is
// used on after such a message; and against a write that is reported as not run although it may have been.
func TestFaultyMessageEndsOneSession(t *testing.T) {
	f := newFixture(t, func(c *Config) {
		callerCodec, serverCodec := c.CallerCodec, c.ServerCodec
		c.CallerCodec = func(conn net.Conn) CallerCodec { return faultyCaller{callerCodec(conn)} }
		c.ServerCodec = func(conn net.Conn) ServerCodec { return &faultyServer{ServerCodec: serverCodec(conn)} }
	})
	bystander, faulty := f.open("strict"), f.open("strict")
	bystander.want("w1", "WRITE x v", "receipt|READY I -")
	faulty.want("b1", "BEGIN", "done|READY T -")
	faulty.want("w2", "WRITE x w", "receipt|READY T -")
	faulty.send("QUERY poison READ x")
	if line := faulty.readLine(); line != "closed" {
		t.Errorf("the faulty session gets %q, want it closed", line)
	}
	bystander.want("r1", "READ x", "row v|receipt|READY I -")

	bystander.want("w3", "WRITE x u", "INDOUBT|READY I -")
	bystander.want("r2", "READ x", "row u|receipt|READY I -")
	if open := f.gateway.Sessions(); open != 1 {
		t.Errorf("%d sessions are open, want 1", open)
	}
	stopped := make(chan struct{})
	go func() {
		f.gateway.Shutdown(t.Context(), time.Second)
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Error("shutdown does not return after a contained panic")
	}
}

// faultyStart panics on the answer to the start of a session.
type faultyStart struct {
	ServerCodec
}

func (faultyStart) Receive() (sessionstate.Reply, error) {
	panic("server's message")
}

// Guards against a process that ends because the status that answers a probe makes it panic. Probes run in goroutines of their own.
func TestFaultyStatusEndsOneProbe(t *testing.T) {
	f := newFixture(t, func(c *Config) {
		c.ParseStatus = func([]byte) (placement.Status, error) { panic("server's message") }
	})
	if _, err := f.gateway.Probe(t.Context(), discovery.Server{ID: "p", Database: database, Address: f.group.Address("p")}); err == nil {
		t.Error("a probe with a faulty answer succeeded")
	}
}

// Guards against a connection that stays counted, at the pool and at the scheduler, after a faulty answer to its start.
func TestFaultyStartOfAConnectionLeavesNothingCounted(t *testing.T) {
	f := newFixture(t, share, func(c *Config) {
		c.ServerCodec = func(conn net.Conn) ServerCodec { return faultyStart{platform.NewServer(conn)} }
	})
	d := coldDestination()
	d.server.Address = f.group.Address("p")
	w := &workItem{timeLeft: time.Second, maxQueueWait: time.Second, serverTimeout: time.Second}
	if _, err := f.gateway.runLocal(t.Context(), d, w); err == nil {
		t.Fatal("a statement ran on a connection that did not start")
	}
	slots, connections := f.gateway.admissionQueue(d).queue.InUse()
	if usage := f.gateway.pool.servers["p"].usage; usage.Open != 0 || usage.Opening != 0 || slots != 0 || connections != 0 {
		t.Errorf("usage %+v, %d slots and %d connections after the failure, want none", usage, slots, connections)
	}
}
