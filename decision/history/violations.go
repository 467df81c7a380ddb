package history

import (
	"fmt"
	"time"
)

// StaleRead: a read did not return a write that was acknowledged to the same session before (I1).
type StaleRead struct {
	Session, Key, Value string
	Acknowledged        time.Duration // of the write
	Sent                time.Duration // of the read
}

// LostWrite: an acknowledged write is missing from the final content and was not reported as lost (I2).
type LostWrite struct {
	Session, Key, Value string
	Acknowledged        time.Duration
}

// ExecutedTwice: a write is present more than once (I10).
type ExecutedTwice struct {
	Session, Key, Value string
	Times               int
}

// RanAfterNotRun: a write that was refused as not run is present (I9).
type RanAfterNotRun struct {
	Session, Key, Value string
	Refused             time.Duration
}

// AcknowledgedAfterSupersession: a write sent after a newer term began was acknowledged in an older
// term (I2).
type AcknowledgedAfterSupersession struct {
	Session, Key, Value string
	Sent                time.Duration // of the write
	Term                uint64        // term that acknowledged the write
	NewerTerm           uint64
	Superseded          time.Duration // when the newer term began
}

// MixedResult: the content of a key includes a value that was written to another key (I3).
type MixedResult struct {
	Key, Value, WrittenKey string
}

// OverAdmitted: in a window, more statements of an account were admitted than its rate and burst
// allow (I7).
type OverAdmitted struct {
	Account  string
	From, To time.Duration // bounds of the window
	Admitted int           // statements sent and answered within the window
	Allowed  float64       // statements allowed by the limit
}

func (v StaleRead) String() string {
	return fmt.Sprintf("stale read: session %s read %s at %s without its own write %s acknowledged at %s", v.Session, v.Key, v.Sent, v.Value, v.Acknowledged)
}

func (v LostWrite) String() string {
	return fmt.Sprintf("lost write: %s of session %s to %s, acknowledged at %s, is missing", v.Value, v.Session, v.Key, v.Acknowledged)
}

func (v ExecutedTwice) String() string {
	return fmt.Sprintf("executed twice: %s of session %s is %d times in %s", v.Value, v.Session, v.Times, v.Key)
}

func (v RanAfterNotRun) String() string {
	return fmt.Sprintf("false refusal: %s of session %s is in %s although refused as not run at %s", v.Value, v.Session, v.Key, v.Refused)
}

func (v AcknowledgedAfterSupersession) String() string {
	return fmt.Sprintf("superseded primary: %s of session %s to %s, sent at %s, was acknowledged in term %d after term %d began at %s", v.Value, v.Session, v.Key, v.Sent, v.Term, v.NewerTerm, v.Superseded)
}

func (v MixedResult) String() string {
	return fmt.Sprintf("mixed result: %s shows %s, which was written to %s", v.Key, v.Value, v.WrittenKey)
}

func (v OverAdmitted) String() string {
	return fmt.Sprintf("over admitted: account %s got %d statements from %s to %s, allowed are %.1f", v.Account, v.Admitted, v.From, v.To, v.Allowed)
}

func (StaleRead) violation()                     {}
func (LostWrite) violation()                     {}
func (ExecutedTwice) violation()                 {}
func (RanAfterNotRun) violation()                {}
func (AcknowledgedAfterSupersession) violation() {}
func (MixedResult) violation()                   {}
func (OverAdmitted) violation()                  {}
