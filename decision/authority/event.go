package authority

import "time"

// Seq numbers probes in the order in which they were ordered, over all servers of a group.
type Seq uint64

// FailureClass tells how a call to a server failed.
type FailureClass int

const (
	// FailureOther is any failure that is neither of the following, such as a reset connection.
	FailureOther FailureClass = iota
	// FailureRefused means that nothing listens at the server's address.
	FailureRefused
	// FailureTimeout means that no answer came in time.
	FailureTimeout
)

// String names the class as logs and metrics show it.
func (c FailureClass) String() string {
	switch c {
	case FailureRefused:
		return "refused"
	case FailureTimeout:
		return "timeout"
	}
	return "other"
}

// Event is an input of a Machine.
type Event interface{ event() }

// Tick tells only that time has passed.
type Tick struct{}

// ProbeResult is the answer to a probe.
type ProbeResult struct {
	Seq   Seq
	Sent  time.Duration // read before the probe was sent
	State ServerState
}

// ProbeFailure tells that a probe got no answer.
type ProbeFailure struct {
	Server ServerID
	Seq    Seq
	Sent   time.Duration
	Class  FailureClass
	Fresh  bool // the probe was sent over a connection of its own
}

// Suspicion tells that a connection to a server failed elsewhere, so that it is probed at once.
type Suspicion struct{ Server ServerID }

// FenceAccepted tells that a server accepted a fence. State is its state afterwards.
type FenceAccepted struct {
	Server ServerID
	Term   uint64
	State  ServerState
}

// FenceFailure tells that a fence was refused or not answered; it may have taken effect.
type FenceFailure struct {
	Server ServerID
	Term   uint64
}

// PromoteAccepted tells that a server accepted its promotion.
type PromoteAccepted struct {
	Server ServerID
	Term   uint64
	State  ServerState
}

// PromoteFailure tells that a promotion was refused or not answered; it may have taken effect.
type PromoteFailure struct {
	Server ServerID
	Term   uint64
}

// PeerViews answers AskPeers.
type PeerViews struct {
	Server   ServerID
	Term     uint64
	Sent     time.Duration // read before the peers were asked
	Asked    int           // peers that may reach the server
	Lost     int           // of these, those that judge it lost
	Reaching int           // of these, those that reach it or know a later primary
}

func (Tick) event()            {}
func (ProbeResult) event()     {}
func (ProbeFailure) event()    {}
func (Suspicion) event()       {}
func (FenceAccepted) event()   {}
func (FenceFailure) event()    {}
func (PromoteAccepted) event() {}
func (PromoteFailure) event()  {}
func (PeerViews) event()       {}

// Action is an order of a Machine to its driver.
type Action interface{ action() }

// Probe orders a probe of a server.
type Probe struct {
	Server ServerID
	Seq    Seq
	Fresh  bool // over a new connection, because the kept one failed or is silent
}

// Fence orders a fence in the machine's own name.
type Fence struct {
	Server ServerID
	Term   uint64
}

// Promote orders the promotion of a server that the machine has fenced at Term.
type Promote struct {
	Server ServerID
	Term   uint64
	Reason Reason
}

// AskPeers orders the question to other instances whether they have lost a primary, see Machine.Judge.
// A driver without peers leaves it unanswered.
type AskPeers struct {
	Server ServerID
	Term   uint64
}

func (Probe) action()    {}
func (Fence) action()    {}
func (Promote) action()  {}
func (AskPeers) action() {}
