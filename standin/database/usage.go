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
	mu                       sync.Mutex
	seen                     Usage
	opening, open, statement int
}

// Usage returns the present counts.
func (s *Server) Usage() Usage {
	s.usage.mu.Lock()
	defer s.usage.mu.Unlock()
	return s.usage.seen
}

// ResetUsage starts a new count; the peaks begin with the present numbers.
func (s *Server) ResetUsage() {
	u := &s.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seen = Usage{PeakOpening: u.opening, PeakOpen: u.open, PeakStatements: u.statement}
}

func (u *usage) change(f func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f()
	u.seen.PeakOpening = max(u.seen.PeakOpening, u.opening)
	u.seen.PeakOpen = max(u.seen.PeakOpen, u.open)
	u.seen.PeakStatements = max(u.seen.PeakStatements, u.statement)
}

func (u *usage) beginOpening() { u.change(func() { u.opening++ }) }
func (u *usage) endOpening()   { u.change(func() { u.opening-- }) }

func (u *usage) opened() {
	u.change(func() { u.open++; u.seen.Opened++ })
}

func (u *usage) refused() { u.change(func() { u.seen.Refused++ }) }
func (u *usage) closed()  { u.change(func() { u.open-- }) }

func (u *usage) beginStatement() { u.change(func() { u.statement++ }) }
func (u *usage) endStatement()   { u.change(func() { u.statement-- }) }
