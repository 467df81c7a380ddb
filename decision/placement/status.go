package placement

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// Status is a server's answer to a status request.
type Status struct {
	Primary     bool
	Term        uint64
	Received    position.Position // the end of its log
	HeldTerm    uint64            // term of the pause for which it receives nothing; 0 for none
	Lag         time.Duration
	Busy        int // slots in use
	Connections int
}
