// Package position orders log positions across the terms of a database group and determines whether
// a position is part of a server's history.
package position

import (
	"cmp"
	"fmt"
	"slices"
)

// Position is a point in the log of a database group. LSN counts log records and keeps increasing
// across terms; two positions of different terms may have the same LSN after a failover.
// The zero Position is contained in every history.
type Position struct {
	Term uint64 `json:"term"`
	LSN  uint64 `json:"lsn"`
}

// IsZero reports whether p is the position before the first record.
func (p Position) IsZero() bool {
	return p == Position{}
}

// Compare orders positions by term, then by LSN.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.LSN, q.LSN)
}

// Less reports whether p is before q.
func (p Position) Less(q Position) bool {
	return p.Compare(q) < 0
}

// Max returns the later of p and q.
func Max(p, q Position) Position {
	if p.Less(q) {
		return q
	}
	return p
}

// String formats the position as term/lsn.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Term, p.LSN)
}

// TermStart holds the LSN at which a term began: records with an LSN above Start were written in Term
// or later.
type TermStart struct {
	Term  uint64 `json:"term"`
	Start uint64 `json:"start"`
}

// History lists the terms of a log, oldest first. Terms without a primary are absent.
type History []TermStart

// Term returns the newest term of the history, 0 for an empty one.
func (h History) Term() uint64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Term
}

// Contains reports whether a log with this history contains the record at p once it has reached
// p.LSN: no later term began before p.LSN, and p's own term is part of the history or older
// than its first entry.
func (h History) Contains(p Position) bool {
	if p.LSN == 0 {
		return true
	}
	if len(h) > 0 && p.Term >= h[0].Term && !h.hasTerm(p.Term) {
		return false
	}
	for _, s := range h {
		if s.Term > p.Term && s.Start < p.LSN {
			return false
		}
	}
	return true
}

func (h History) hasTerm(term uint64) bool {
	return slices.ContainsFunc(h, func(s TermStart) bool { return s.Term == term })
}
