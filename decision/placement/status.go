package placement

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// Status is what a server says of itself when it is asked.
type Status struct {
	Primary     bool
	Term        uint64
	Received    position.Position // the end of its log
	MinLogTerm  uint64            // no log of a lower term is taken any more
	Lag         time.Duration
	Busy        int // slots in use
	Connections int
}
