package database

import "sync"

// Usage is what clients have asked of a server since its start or the last ResetUsage. Control
// connections and replication links are left out.
type Usage struct {
	Opened         int // connections accepted
	Refused        int // connections refused because MaxConnections were open
	PeakOpening    int // most connections in start-up at a time
	PeakOpen       int // most connections open at a time
	PeakStatements int // most statements in a slot or waiting for one at a time
}

// usage keeps a Usage and the present numbers that its peaks are taken from.
type usage struct {
	mu                        sync.Mutex
	counts                    Usage
	opening, open, statements int
}

// Usage returns the present counts.
func (s *Server) Usage() Usage {
	s.usage.mu.Lock()
	defer s.usage.mu.Unlock()
	return s.usage.counts
}

// ResetUsage starts a new count; the peaks begin with the present numbers.
func (s *Server) ResetUsage() {
	u := &s.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts = Usage{PeakOpening: u.opening, PeakOpen: u.open, PeakStatements: u.statements}
}

func (u *usage) update(f func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f()
	u.counts.PeakOpening = max(u.counts.PeakOpening, u.opening)
	u.counts.PeakOpen = max(u.counts.PeakOpen, u.open)
	u.counts.PeakStatements = max(u.counts.PeakStatements, u.statements)
}

func (u *usage) beginOpening() { u.update(func() { u.opening++ }) }
func (u *usage) endOpening()   { u.update(func() { u.opening-- }) }

func (u *usage) opened() {
	u.update(func() { u.open++; u.counts.Opened++ })
}

func (u *usage) refused() { u.update(func() { u.counts.Refused++ }) }
func (u *usage) closed()  { u.update(func() { u.open-- }) }

func (u *usage) beginStatement() { u.update(func() { u.statements++ }) }
func (u *usage) endStatement()   { u.update(func() { u.statements-- }) }
