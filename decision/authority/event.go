package authority

import "time"

// Seq is the sequence number of a probe, assigned when it is ordered, over all servers of a group.
type Seq uint64

// FailureClass is the way in which a call to a server failed.
type FailureClass int

const (
	// FailureOther is any other failure, such as a reset connection.
	FailureOther FailureClass = iota
	// FailureRefused means that nothing listens at the server's address.
	FailureRefused
	// FailureTimeout means that no answer arrived in time.
	FailureTimeout
)

// String returns the name of the class in logs and metrics.
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

// Tick reports that time has passed.
type Tick struct{}

// ProbeResult is the answer to a probe.
type ProbeResult struct {
	Seq   Seq
	Sent  time.Duration // taken before the probe was sent
	State ServerState
	Late  bool // the probe was reported as failed before; its server is slow, but it is not lost
}

// ProbeFailure reports that a probe got no answer.
type ProbeFailure struct {
	Server ServerID
	Seq    Seq
	Sent   time.Duration
	Class  FailureClass
	Fresh  bool // the probe was sent over a new connection
}

// Suspicion reports that another connection to a server failed, so that the server is probed at once.
type Suspicion struct{ Server ServerID }

// FenceAccepted reports that a server accepted a fence. State is its state afterwards.
type FenceAccepted struct {
	Server ServerID
	Term   uint64
	State  ServerState
}

// FenceFailure reports that a fence was refused or not answered; it may have taken effect.
type FenceFailure struct {
	Server ServerID
	Term   uint64
}

// PromoteAccepted reports that a server accepted its promotion.
type PromoteAccepted struct {
	Server ServerID
	Term   uint64
	State  ServerState
}

// PromoteFailure reports that a promotion was refused or not answered; it may have taken effect.
type PromoteFailure struct {
	Server ServerID
	Term   uint64
}

// PeerViews is the result of AskPeers.
type PeerViews struct {
	Server   ServerID
	Term     uint64
	Sent     time.Duration // taken before the peers were asked
	Asked    int           // peers that were asked, including those without an answer
	Lost     int           // of these, peers that answered JudgementLost
	Reaching int           // of these, peers that answered JudgementReaches
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

// Action is an instruction of a Machine to its driver.
type Action interface{ action() }

// Probe orders a probe of a server.
type Probe struct {
	Server ServerID
	Seq    Seq
	Fresh  bool // over a new connection, because the existing one failed or does not answer
}

// Fence orders a fence with the machine's owner name.
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

// AskPeers asks the other instances whether they have lost a primary, see Machine.Judge. A driver
// without peers never answers it.
type AskPeers struct {
	Server ServerID
	Term   uint64
}

func (Probe) action()    {}
func (Fence) action()    {}
func (Promote) action()  {}
func (AskPeers) action() {}
