// Package gateway serves callers' sessions on databases whose servers register themselves, report log
// positions and prove that they lead by accepting a transaction. It is independent of the wire protocols,
// which a CallerCodec and a ServerCodec implement.
//
// A statement passes these stages, each in files of its own:
//
//   - accept (gateway.go, session.go): a caller's connection, its route and key, its session state;
//   - charge (session.go): the account's quota, by Config.Quota;
//   - place (single.go, transaction.go, view.go): a server that has what the session must see, by package placement; home.go,
//     evacuation.go and coldstart.go restrict the choice;
//   - hand over (work.go, lend.go, lenderhealth.go): to the instance that holds the connections to the server, its lender; scheduler.go has the
//     case that one lender runs all statements of a server;
//   - admit (admission.go): the lender's queue for the server, by package fairqueue;
//   - run (pool.go, returning.go, upstream.go): a connection to the server, its setup, the statement and its answer.
//
// Invariants:
//
//   - A server connection serves one account, and one session at a time. It is returned to the pool only
//     outside a transaction and with session values that are known.
//   - A statement is sent again only when the answer proves that it did not run, or when it only reads.
//   - Writes that are reported to a caller as rolled back don't persist: no COMMIT was sent for their
//     transaction, and its connection is rolled back or closed before the report.
//   - A server in an evacuated failure domain gets no new statement, whoever has chosen it, and no statement of an open
//     transaction once part of the bound has passed.
//   - Every statement is checked against the configuration in force just before it is sent.
//   - Every statement that is sent to a cold server has a turn in the budget of this instance, as its lender.
package gateway

import (
	"context"
	"net"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/coldstart"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
)

// CallerCodec is the protocol of one caller's connection. Messages are buffered until Flush.
type CallerCodec interface {
	// ReadStartup returns an *outcome.Error for a message that the caller must be told about.
	ReadStartup() (route, key string, err error)
	// ReadStatement returns io.EOF when the caller has disconnected, and an *outcome.Error for a message that can't be read: the
	// caller is told, and the session ends.
	ReadStatement() (sessionstate.Statement, error)
	Ready(state sessionstate.TxState)
	Row(row []byte)
	Complete(receipt string)
	Error(e *outcome.Error)
	Flush() error
}

// ServerCodec is the protocol of one server connection. Requests are queued until Flush; each is answered by
// replies that end with a ReplyReady.
type ServerCodec interface {
	Start(database, account, server string)
	Query(stmt sessionstate.Statement, after position.Position)
	Execute(stmt sessionstate.Statement, name string, after position.Position)
	Begin()
	BeginReadOnly(after position.Position)
	Rollback()
	Set(name, value string)
	Prepare(name string, p sessionstate.PreparedStatement)
	Discard()
	Status()
	StepDown(term uint64)
	Pause(term uint64)
	Resume()
	Terminate()
	Flush() error
	Receive() (sessionstate.Reply, error)
}

// Directory provides the configuration in force. It is safe for concurrent use.
type Directory interface {
	// Current returns nil before the first configuration was read.
	Current() *catalog.Snapshot
	// Known is closed once the first configuration was read.
	Known() <-chan struct{}
	// Fresh reports whether the configuration is known to be recent enough to trust a key.
	Fresh() bool
}

// Quota limits operations to an account's rate and burst over all instances.
type Quota interface {
	// AdmitWithin returns nil, or *outcome.Error of kind NotRun.
	AdmitWithin(ctx context.Context, account string, p quota.Patience) error
}

// LendRequest describes the connection that a statement needs.
type LendRequest struct {
	Server  discovery.Server
	Account string
	// Homes are the regions that may receive the statement, besides this instance; empty for all.
	Homes []string
	// Exclusive: one instance must run all statements of the server, whatever their account.
	Exclusive bool
}

// Config configures a Gateway.
type Config struct {
	Local       placement.Locality
	Directory   Directory
	Quota       Quota
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	CallerCodec func(net.Conn) CallerCodec
	ServerCodec func(net.Conn) ServerCodec
	ParseStatus func(row []byte) (placement.Status, error)
	// Lender returns the peer address of the instance that holds the connections for a request, empty for this one.
	// suspected reports whether an instance recently did not answer. With a nil Lender each instance holds its own
	// connections.
	Lender func(r LendRequest, suspected func(address string) bool) string
	// Conns connects to the other instances; required with Lender.
	Conns Conns
	// AskInstance asks another instance for a sign of life and reports whether it has given one before ctx ended; nil: lenders
	// that answer nothing are only noticed when a statement's time is over.
	AskInstance func(ctx context.Context, address string) (answered bool)
	// Instances returns how many instances share the connections to a server.
	Instances func(s discovery.Server) int
	// OneScheduler reports whether the Lender of a server depends on the server only, so that this instance runs either
	// all statements of the server or none. nil: never.
	OneScheduler func(s discovery.Server) bool
	// Cold is how far cold servers may get more than their rate.
	Cold coldstart.Tolerance
	// ReachedFraction returns the fraction of all listed instances that this one reaches, itself included, and 0 while the
	// list is not known; nothing is sent to cold servers then. nil means that there is no other instance.
	ReachedFraction func() float64
	// EntriesCurrent reports whether the entries of the servers are recent enough to show that a server has started again;
	// nil means always.
	EntriesCurrent func() bool
	// MayUseLeader reports whether statements may be sent to a leader; nil means always. It is false while this instance
	// could miss that a leader is replaced.
	MayUseLeader func() bool
	Now          func() time.Duration // monotonic clock that includes the time the machine is suspended
	Log          *EventLog
}
