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
	MinLogTerm  uint64            // log of a lower term is refused
	Lag         time.Duration
	Busy        int // slots in use
	Connections int
}
