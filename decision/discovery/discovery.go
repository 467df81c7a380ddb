// Package discovery holds what database servers say of themselves where they register on their own.
package discovery

import "time"

// Server is one registered server.
type Server struct {
	ID            string
	Database      string
	Address       string // IP:port
	Region        string
	FailureDomain string
	Slots         int  // statements in execution
	Leaving       bool // it receives no new work
	Primary       bool // as the server sees itself
	// WarmupRemaining is how much longer the server was slow after its start when it registered.
	WarmupRemaining time.Duration
	// Started tells one run of a server from the next, 0 if it is not known.
	Started int64
	// Revision is the store's revision of the entry's last change.
	Revision uint64
}
