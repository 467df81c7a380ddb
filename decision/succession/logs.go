package succession

import (
	"maps"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// Logs tells whose logs still have everything that the servers of a database acknowledged, as far as one instance can know. A server
// that starts again holds nothing, and one that takes over the address of another may hold only a part of that one's log. Its log
// counts again once it has reached what the leader had after the restart was seen. Times are of a clock that does not go back; Logs is
// not safe for concurrent use.
type Logs struct {
	servers map[string]*serverLog // also those whose entries are gone
}

// goneTerm is how long a server is remembered whose entry is gone.
const goneTerm = time.Hour

// serverLog is what is known of one server.
type serverLog struct {
	address  string
	started  int64
	seenAt   time.Duration // when its entry was last seen
	restored bool          // has everything that the server acknowledged
	// restartedAt is when the restart was seen, and goal what the leader had after that, zero before it is known.
	restartedAt time.Duration
	goal        position.Position
	highest     position.Position // seen since the restart
}

// NewLogs returns Logs without servers.
func NewLogs() *Logs {
	return &Logs{servers: map[string]*serverLog{}}
}

// Register records the entry of a server. started identifies a run of it.
func (l *Logs) Register(now time.Duration, id, address string, started int64) {
	before := l.servers[id]
	switch {
	case before == nil:
		l.forget(now)
		l.servers[id] = &serverLog{address: address, started: started, seenAt: now, restored: !l.isKnown(address), restartedAt: now}
	case before.started != started:
		*before = serverLog{address: address, started: started, seenAt: now, restartedAt: now}
	default:
		before.address, before.seenAt = address, now
	}
}

// forget removes servers whose entries have been gone for long.
func (l *Logs) forget(now time.Duration) {
	maps.DeleteFunc(l.servers, func(_ string, s *serverLog) bool { return s.restored && now-s.seenAt > goneTerm })
}

// isKnown reports whether another server has had an address.
func (l *Logs) isKnown(address string) bool {
	for _, s := range l.servers {
		if s.address == address {
			return true
		}
	}
	return false
}

// RecordLeader records the end of the leader's log, as answered to a request that was sent at the given time. A zero position is not
// known.
func (l *Logs) RecordLeader(sent time.Duration, id string, p position.Position) {
	if p.IsZero() {
		return
	}
	for other, s := range l.servers {
		switch {
		case s.restored || sent < s.restartedAt:
		case other == id:
			s.restored = true // the others follow its log
		case s.goal.IsZero() || s.goal.Term < p.Term: // a new leader may have fewer commits than the former one
			s.goal = p
			s.restored = s.hasReached(p)
		}
	}
}

// Record records the end of a server's log.
func (l *Logs) Record(id string, p position.Position) {
	s := l.servers[id]
	if s == nil {
		return
	}
	s.highest = position.Max(s.highest, p)
	s.restored = s.restored || !s.goal.IsZero() && s.hasReached(s.goal)
}

// hasReached reports whether the log reaches a position by its number, too: a server may tell the term of its primary before it has
// received the commits of that term.
func (s *serverLog) hasReached(p position.Position) bool {
	return !s.highest.Less(p) && s.highest.LSN >= p.LSN
}

// Highest returns the highest end of a server's log that was seen since it started; zero if none was.
func (l *Logs) Highest(id string) position.Position {
	if s := l.servers[id]; s != nil {
		return s.highest
	}
	return position.Position{}
}

// HasAll reports whether a server that tells its log to end at received has everything that it acknowledged. highest is Highest as of
// before it was asked: a shorter log of the same term is that of a server which has started again without having said so.
func (l *Logs) HasAll(id string, highest, received position.Position) bool {
	s := l.servers[id]
	if s == nil || received.Term == highest.Term && received.Less(highest) {
		return false
	}
	l.Record(id, received)
	return s.restored
}
