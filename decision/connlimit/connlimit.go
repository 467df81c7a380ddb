// Package connlimit decides how many connections one instance holds to a database server whose connection
// limit is shared by all instances. The instances don't coordinate: the server itself refuses connections
// beyond its limit.
//
// Each instance may always hold its equal share. Beyond that it borrows: a borrowed connection is opened
// only for a waiting statement and closed soon after it becomes idle, so that other instances can open
// theirs. After a refusal the instance opens no connection for a short time.
//
// Where one instance, the scheduler, runs all statements of a server, it may hold all connections but a reserve for a
// former scheduler and control calls, and opens at most one for each slot at a time. Its substitutes, instances that don't
// reach it for a moment, keep no idle connections: their shares and the scheduler's together exceed the limit.
//
// Load: a few hundred operations a second over 8 instances and 9 servers with 23 connections each, where
// transactions hold connections while their callers pause.
package connlimit

import "time"

const (
	// reserveDivisor reserves an eighth of the limit for borrowing and for connections of failed instances,
	// which a server closes only after some seconds.
	reserveDivisor = 8
	// schedulerReserveDivisor reserves a quarter of the limit for the successor of a lost scheduler: with 56 connections
	// 14, more than the 8 statements that it runs at once.
	schedulerReserveDivisor = 4
	// borrowDivisor limits one instance to half of a server's connections.
	borrowDivisor = 2
	// IdleTimeoutInShare and IdleTimeoutBorrowed are how long idle connections are kept within the share and beyond it.
	IdleTimeoutInShare  = 20 * time.Second
	IdleTimeoutBorrowed = 300 * time.Millisecond
	// MinFullBackoff is how long no connection is opened after a server has refused one. Other instances borrow connections for
	// about the duration of a short transaction. It doubles with each further refusal, up to 640 ms: a server may also
	// count connections of lost processes, or connections that have gone silent, for seconds to minutes.
	MinFullBackoff   = 40 * time.Millisecond
	maxFullDoublings = 4
	// ReturnTimeout is how long a statement waits for a returning connection before it acts as if there were none.
	ReturnTimeout = 40 * time.Millisecond
)

// Limit is the connection limit of one server and the number of instances that share it.
type Limit struct {
	Max       int // connections of the server, over all instances
	Instances int // that share the limit, this one included
	// Scheduler: this instance alone runs the statements of the server, except for those of a former scheduler.
	Scheduler bool
	// Substitute: another instance is the scheduler, but can't be reached. Its connections are needed again when it can.
	Substitute bool
	// MaxOpening is the number of connections that may be opened at the same time; 0 for no limit. Opening one occupies a
	// slot of the server.
	MaxOpening int
}

// Share returns the number of connections that an instance may always hold, at least 1. A scheduler keeps
// three quarters, so that the next one can open connections while the server has not closed those of a lost one yet.
func (l Limit) Share() int {
	if l.Scheduler {
		return max(l.Max-l.Max/schedulerReserveDivisor, 1)
	}
	usable := l.Max - l.Max/reserveDivisor
	return max(usable/max(l.Instances, 1), 1)
}

// Ceiling returns the maximum number of connections that an instance may hold, borrowed ones included.
func (l Limit) Ceiling() int {
	if l.Scheduler {
		return max(l.Max-l.Max/reserveDivisor, 1) // the rest is for control calls and former schedulers
	}
	return max(l.Share(), l.Max/borrowDivisor)
}

// Usage is the state of one instance's connections to one server.
type Usage struct {
	Open int // idle, in use or being opened
	Idle int
	// Opening counts those that are being opened.
	Opening int
	// Returning counts those that suit the statement, are expected to become idle within a round trip and have no
	// statement waiting for them.
	Returning int
	FullUntil time.Duration // no connection is opened before this time, because the server refused one
	// Refusals counts the times in a row that the server was found full.
	Refusals int
}

// Refused records that the full server has refused a connection. Connections that were opened at the same time count once.
func (u *Usage) Refused(now time.Duration) {
	if now >= u.FullUntil {
		u.Refusals++
		u.FullUntil = now + MinFullBackoff<<min(u.Refusals-1, maxFullDoublings)
	}
}

// Accepted records that the server has accepted a connection.
func (u *Usage) Accepted() {
	u.Refusals, u.FullUntil = 0, 0
}

// Action is what to do for a statement that found no suitable idle connection.
type Action int

const (
	// Wait for a connection to be released.
	Wait Action = iota
	// Open another connection.
	Open
	// Replace an unsuitable idle connection.
	Replace
	// AwaitReturn waits up to ReturnTimeout for a returning connection. Opening one takes longer and occupies a slot
	// of the server.
	AwaitReturn
)

// NextAction returns the action for a statement that found no suitable idle connection.
func (l Limit) NextAction(now time.Duration, u Usage) Action {
	full := now < u.FullUntil
	switch {
	case u.Returning > 0:
		return AwaitReturn
	case !l.MayOpen(u):
		return Wait
	case !full && u.Open < l.Share():
		return Open
	case u.Idle > 0:
		return Replace
	case !full && u.Open < l.Ceiling():
		return Open
	}
	return Wait
}

// MayOpen reports whether MaxOpening allows to open one more connection. While the server may be full, one is tried at a time.
func (l Limit) MayOpen(u Usage) bool {
	if u.Refusals > 0 && u.Opening > 0 {
		return false
	}
	return l.MaxOpening == 0 || u.Opening < l.MaxOpening
}

// Usable returns how many connections may be in use at the same time.
func (l Limit) Usable(now time.Duration, u Usage) int {
	if now < u.FullUntil {
		return max(u.Open, 1)
	}
	return l.Ceiling()
}

// IdleTimeout returns how long a connection may stay idle while the instance holds the given number of open
// connections.
func (l Limit) IdleTimeout(open int) time.Duration {
	if l.Substitute || open > l.Share() {
		return IdleTimeoutBorrowed
	}
	return IdleTimeoutInShare
}
