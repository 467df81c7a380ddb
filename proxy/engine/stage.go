package engine

import (
	"sync/atomic"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// Stage is what a statement in execution waits for.
type Stage int64

const (
	// StageNone: the session has no statement in execution.
	StageNone Stage = iota
	// StageQuota: admission by the account's rate.
	StageQuota
	// StagePlacement: the choice of a server, which may wait for a primary, a sample or a proof of authority.
	StagePlacement
	// StageConnection: a connection and a slot in the queue of the server's home, if that is this instance.
	StageConnection
	// StageServer: the answer of the server, with the queue of another instance that is its home, and the relay of
	// the answer to the caller.
	StageServer
	// StageVerification: the sample that a replica's answer must cover.
	StageVerification
	// StageConfirmation: the confirmation of a write.
	StageConfirmation
	stageCount
)

var stageNames = [stageCount]string{"none", "quota", "placement", "connection", "server", "verification", "confirmation"}

// String returns the name of the stage in logs and metrics.
func (s Stage) String() string {
	return stageNames[s]
}

// stageBits is the width of the stage in stageClock.
const stageBits = 3

// stageClock holds the stage of a session's statement and when it began. It is set on the path of each statement
// without a lock and read by Server.Stalled.
type stageClock struct {
	packed atomic.Int64 // nanoseconds since clockOrigin, then the stage in the lowest stageBits
}

var clockOrigin = time.Now()

func (c *stageClock) enter(s Stage) {
	c.packed.Store(int64(time.Since(clockOrigin))<<stageBits | int64(s))
}

// load returns the stage and how long it has lasted.
func (c *stageClock) load() (Stage, time.Duration) {
	packed := c.packed.Load()
	return Stage(packed & (1<<stageBits - 1)), time.Since(clockOrigin) - time.Duration(packed>>stageBits)
}

// StalledStatement is a statement that has been in one stage for long.
type StalledStatement struct {
	Server authority.ServerID // empty while no connection to a server is in use
	Stage  Stage
	Age    time.Duration // of the stage
}

// Stalled returns the statements that have been in their present stage for at least age.
func (s *Server) Stalled(age time.Duration) []StalledStatement {
	s.mu.Lock()
	var stalled []*session
	for _, sess := range s.sessions {
		if stage, lasted := sess.stage.load(); stage != StageNone && lasted >= age {
			stalled = append(stalled, sess)
		}
	}
	s.mu.Unlock()
	var out []StalledStatement
	for _, sess := range stalled {
		if d, ok := sess.describeStall(age); ok {
			out = append(out, d)
		}
	}
	return out
}

// describeStall returns false if the stage has ended meanwhile.
func (s *session) describeStall(age time.Duration) (StalledStatement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stage, lasted := s.stage.load()
	if stage == StageNone || lasted < age {
		return StalledStatement{}, false
	}
	d := StalledStatement{Stage: stage, Age: lasted}
	if s.activeUpstream != nil {
		d.Server = s.activeUpstream.target.Server
	}
	return d, true
}
