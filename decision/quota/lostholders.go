package quota

import (
	"maps"
	"slices"
	"time"
)

// LostHolders decides which holders of an assignment are lost. Heartbeats go to few peers at a time, so what an instance
// believes of a holder may be many periods old: a holder that was only parted from it for a while is asked once more before
// it counts as lost. The zero value knows no holder. It is not safe for concurrent use.
type LostHolders struct {
	holders map[string]*holderContact
}

// holderContact is what is known of a holder.
type holderContact struct {
	liveAt   time.Duration // when it was last live
	asked    bool          // since then
	askEnded bool          // the call has ended
}

// Update returns the holders that are lost and those that are to be asked now: those of holders that have not been among live
// for UnreachableTerm, before and after they were asked. The caller reports the end of each call with Asked.
func (l *LostHolders) Update(now time.Duration, holders, live []string) (lost, ask []string) {
	if l.holders == nil {
		l.holders = map[string]*holderContact{}
	}
	maps.DeleteFunc(l.holders, func(holder string, _ *holderContact) bool { return !slices.Contains(holders, holder) })
	for _, holder := range holders {
		c := l.holders[holder]
		switch {
		case c == nil || slices.Contains(live, holder):
			l.holders[holder] = &holderContact{liveAt: now}
		case now-c.liveAt < UnreachableTerm:
		case !c.asked:
			c.asked = true
			ask = append(ask, holder)
		case c.askEnded:
			lost = append(lost, holder)
		}
	}
	return lost, ask
}

// Asked records that the call to a holder has ended. If it was answered, the next Update finds the holder among the live ones.
func (l *LostHolders) Asked(holder string) {
	if c := l.holders[holder]; c != nil {
		c.askEnded = c.asked
	}
}
