package coldstart

import "time"

// Period is the cold period of one run of a server, as one instance knows it. The zero value is over. Times are durations since
// a fixed origin on a monotonic clock.
type Period struct {
	revision uint64 // of the entry that until comes from
	until    time.Duration
	told     time.Duration // end according to another instance
}

// Learn applies the server's entry of a revision, with the remaining time at its registration. Reading the same revision again
// changes nothing.
func (p *Period) Learn(now time.Duration, revision uint64, remaining time.Duration) {
	if revision == p.revision {
		return
	}
	p.revision = revision
	p.until = now + remaining
	if remaining <= 0 {
		p.told = 0
	}
}

// Tell applies the remaining time that another instance knows of. It covers an instance whose entries are older.
func (p *Period) Tell(now, remaining time.Duration) {
	p.told = now + remaining
}

// Remaining returns how much longer the server is cold, 0 if it isn't.
func (p *Period) Remaining(now time.Duration) time.Duration {
	return max(p.until-now, p.told-now, 0)
}
