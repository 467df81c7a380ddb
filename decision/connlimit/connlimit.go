// Package connlimit decides how many connections one instance holds to a database server whose limit
// counts over all instances, without the instances talking about it: the server itself refuses what
// exceeds its limit.
//
// Each instance may always hold its equal share. Beyond that it borrows: a borrowed connection is opened
// only for a statement that waits, and closed soon after it has become idle, so that the others find
// room. After a refusal the instance opens no further connection for a moment.
//
// Load: a few hundred operations a second over 8 instances and 9 servers with 23 connections each, where
// transactions hold connections while their callers pause.
package connlimit

import "time"

const (
	// reserveDivisor keeps an eighth of the limit free for connections of instances that have died,
	// which a server drops only after some seconds, and for borrowing.
	reserveDivisor = 8
	// borrowDivisor bounds one instance to half of a server's connections.
	borrowDivisor = 2
	// IdleTimeoutInShare and IdleTimeoutBorrowed are how long idle connections are kept inside the share and beyond.
	IdleTimeoutInShare  = 20 * time.Second
	IdleTimeoutBorrowed = 300 * time.Millisecond
	// FullBackoff is how long no connection is opened after a server has refused one. Connections
	// of other instances are borrowed for about the time of a short transaction.
	FullBackoff = 40 * time.Millisecond
)

// Limit is the share of one instance in the connections to one server.
type Limit struct {
	Max       int // of the server, over all instances
	Instances int // that share it, this one included
}

// Share is the number of connections that the instance may keep, at least 1.
func (l Limit) Share() int {
	usable := l.Max - l.Max/reserveDivisor
	return max(usable/max(l.Instances, 1), 1)
}

// Ceiling is the number of connections that the instance may hold at all.
func (l Limit) Ceiling() int {
	return max(l.Share(), l.Max/borrowDivisor)
}

// Usage is what one instance holds of one server's connections.
type Usage struct {
	Open      int // idle, in use or being opened
	Idle      int
	FullUntil time.Duration // the server has refused a connection; none is opened before
}

// Action tells how a statement without a fitting idle connection goes on.
type Action int

const (
	// Wait for a connection to be given back.
	Wait Action = iota
	// Open a further connection.
	Open
	// Replace an idle connection that does not fit.
	Replace
)

// NextAction decides for a statement that found no fitting idle connection.
func (l Limit) NextAction(now time.Duration, u Usage) Action {
	full := now < u.FullUntil
	switch {
	case !full && u.Open < l.Share():
		return Open
	case u.Idle > 0:
		return Replace
	case !full && u.Open < l.Ceiling():
		return Open
	}
	return Wait
}

// IdleTimeout returns how long a connection may stay idle when the instance holds open connections.
func (l Limit) IdleTimeout(open int) time.Duration {
	if open > l.Share() {
		return IdleTimeoutBorrowed
	}
	return IdleTimeoutInShare
}
