package history

import "time"

// EventKind tells what an Event records.
type EventKind int

const (
	// WriteSent: Session sent an append of Value to Key.
	WriteSent EventKind = iota + 1
	// WriteAcknowledged: the write of Value was acknowledged, in Term if known.
	WriteAcknowledged
	// WriteNotRun: the write of Value was refused as not run.
	WriteNotRun
	// WriteUnknown: the outcome of the write of Value is unknown.
	WriteUnknown
	// WriteReportedLost: Session was told that its acknowledged write of Value is lost.
	WriteReportedLost
	// ReadReturned: a read of Key that Session sent at Sent returned Values.
	ReadReturned
	// Admitted: a statement of Account was admitted between Sent and At.
	Admitted
	// Refused: a statement of Account, sent at Sent, was refused as not run.
	Refused
	// Superseded: a server became the primary of Term, which ended all lower terms.
	Superseded
)

// Event is one observation. Times count from the start of the run on one clock.
type Event struct {
	Kind    EventKind
	At      time.Duration // of the observation
	Sent    time.Duration // ReadReturned, Admitted and Refused: when the request was sent; at most At
	Session string
	Account string
	Key     string
	Value   string
	Values  []string // content of Key in order
	Term    uint64   // 0 if unknown
}

// Limit is the bound on the admissions of one account: at most Burst + Rate*w in any window w.
type Limit struct {
	Rate  float64 // statements per second
	Burst float64 // statements
}

// History is what a run recorded.
type History struct {
	Events []Event
	// Final holds the content of each key after the run; nil if it was not read.
	Final map[string][]string
	// Limits holds the bounds of the accounts to be checked.
	Limits map[string]Limit
}

// Violation is one of the violation types of this package.
type Violation interface {
	// String describes the violation in one line.
	String() string
	violation()
}

// outcome is the final answer to a write.
type outcome int

const (
	outcomePending outcome = iota // no answer was recorded
	outcomeAcknowledged
	outcomeNotRun
	outcomeUnknown
	outcomeReportedLost
)

// write gathers the events of one written value.
type write struct {
	session, key, value string
	sent, answered      time.Duration
	outcome             outcome
	lostAt              time.Duration // outcomeReportedLost: when the session was told
	term                uint64
}

// keyContent names a key content that was seen: by a read, or the final one.
type keyContent struct {
	key    string
	values []string
	at     time.Duration
	final  bool
}
