// Package discovery defines the entries of database servers that register themselves.
package discovery

import "time"

// Server is one registered server.
type Server struct {
	ID            string
	Database      string
	Address       string // IP:port
	Region        string
	FailureDomain string
	Slots         int  // concurrent statements
	Leaving       bool // receives no new statements
	// Evacuated: the operator wants nothing new sent to the servers of its failure domain.
	Evacuated bool
	Primary   bool // according to the server itself
	// WarmupRemaining is how much longer the server expected to be slow after its start, as of its registration.
	WarmupRemaining time.Duration
	// Started identifies a run of the server: it differs after a restart. 0 if unknown.
	Started int64
	// Sequence counts what the server has written since it started.
	Sequence uint64
	// Revision is the store version of the entry's last change.
	Revision uint64
}
