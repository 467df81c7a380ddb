package database

import "sync"

// Usage counts the connections and statements of clients since the server's start or the last
// ResetUsage. Control connections and replication links are not counted.
type Usage struct {
	Opened         int // connections accepted
	Refused        int // connections refused because MaxConnections were open
	PeakOpening    int // most connections in start-up at the same time
	PeakOpen       int // most connections open at the same time
	PeakStatements int // most statements in a slot or waiting for one at the same time
}

// usage holds a Usage and the current numbers from which its peaks are taken.
type usage struct {
	mu                        sync.Mutex
	counts                    Usage
	opening, open, statements int
}

// Usage returns the current counts.
func (s *Server) Usage() Usage {
	s.usage.mu.Lock()
	defer s.usage.mu.Unlock()
	return s.usage.counts
}

// ResetUsage resets the counts. The peaks start from the current numbers.
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
