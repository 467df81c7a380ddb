package history

import "time"

// EventKind is the kind of an Event.
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
	// WriteReportedLost: it was reported to Session that its acknowledged write of Value is lost.
	WriteReportedLost
	// ReadReturned: a read of Key that Session sent at Sent returned Values.
	ReadReturned
	// Admitted: a statement of Account was admitted between Sent and At.
	Admitted
	// Refused: a statement of Account, sent at Sent, was refused as not run.
	Refused
	// Superseded: a server became the primary of Term, ending all lower terms.
	Superseded
)

// Event is one observation. Times are offsets from the start of the run, measured by one clock.
type Event struct {
	Kind    EventKind
	At      time.Duration // time of the observation
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

// History is the recording of a run.
type History struct {
	Events []Event
	// Final holds the content of each key after the run; nil if it was not read.
	Final map[string][]string
	// Limits holds the limits of the accounts to check.
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

// write combines the events of one written value.
type write struct {
	session, key, value string
	sent, answered      time.Duration
	outcome             outcome
	lostAt              time.Duration // outcomeReportedLost: when the loss was reported to the session
	term                uint64
}

// keyContent is an observed content of a key, returned by a read or read after the run.
type keyContent struct {
	key    string
	values []string
	at     time.Duration
	final  bool
}
