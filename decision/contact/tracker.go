package contact

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ageUnit is the unit of ages in messages.
	ageUnit = 40 * time.Millisecond
	// noAge stands for an age above the largest that can be sent, 10.16 s.
	noAge = 255
)

// Evidence is what an instance tells in the answer to a call. Ages are in units of 40 ms, rounded up;
// 255 stands for longer ago or never.
type Evidence struct {
	// List is the fingerprint of the sender's list.
	List uint64
	// Ages holds the ages of the low and the high number for each group of the list.
	Ages []byte
	// Mates holds the ages of the members of the sender's group, for a caller of that group only.
	Mates []byte
	// Groups holds the fingerprints of the groups, for a caller with another list only.
	Groups []uint32
}

// instant is the latest time of an event, if there was one.
type instant struct {
	at   time.Duration
	seen bool
}

func (i *instant) raise(at time.Duration) {
	if !i.seen || at > i.at {
		*i = instant{at: at, seen: true}
	}
}

func (i instant) age(now time.Duration) byte {
	if !i.seen {
		return noAge
	}
	units := (max(now-i.at, 0) + ageUnit - 1) / ageUnit
	return byte(min(units, noAge))
}

// levels are the latest times as of which the low and the high number of a group were heard from.
type levels struct {
	low, high instant
}

// Tracker keeps what one instance knows. All times are spans since one monotonic origin. It is not safe
// for concurrent use.
type Tracker struct {
	self   string
	wanted int      // groups
	named  []Member // as given
	list   *grouping
	listed int
	own    int // own group
	mates  map[string]instant
	known  []levels // by group
}

// NewTracker returns the tracker of an instance that knows no list yet.
func NewTracker(self string) *Tracker {
	t := &Tracker{self: self, wanted: wantedGroups, list: &grouping{}}
	t.SetMembers(nil)
	return t
}

// SetMembers replaces the list. It needs to name this instance, whose failure domain it tells; without
// that, this instance counts as a member of an unnamed one. What is known of unchanged groups stays.
func (t *Tracker) SetMembers(members []Member) {
	if t.list.groups != nil && slices.Equal(members, t.named) {
		return // the list is read every few seconds and seldom changes
	}
	t.named = slices.Clone(members)
	t.setGrouping(newGrouping(withSelf(members, t.self), t.wanted))
}

func (t *Tracker) setGrouping(next *grouping) {
	if next.fingerprint == t.list.fingerprint && len(t.known) > 0 {
		return
	}
	before := t.byFingerprint()
	t.list, t.listed, t.own = next, len(next.of), next.of[t.self]
	t.known = make([]levels, len(next.groups))
	for i, g := range next.groups {
		t.known[i] = before[g.fingerprint]
	}
	t.keepMates()
}

func (t *Tracker) byFingerprint() map[uint32]levels {
	known := make(map[uint32]levels, len(t.known))
	for i, g := range t.list.groups {
		known[g.fingerprint] = t.known[i]
	}
	return known
}

func (t *Tracker) keepMates() {
	mates := make(map[string]instant, len(t.list.groups[t.own].members))
	for _, id := range t.list.groups[t.own].members {
		mates[id] = t.mates[id]
	}
	t.mates = mates
}

// List returns the fingerprint of the list, which a caller sends with its call.
func (t *Tracker) List() uint64 {
	return t.list.fingerprint
}

// Evidence returns what to answer to a call. Caller and its list are those named in the call.
func (t *Tracker) Evidence(now time.Duration, caller string, list uint64) Evidence {
	t.countOwn(now)
	e := Evidence{List: t.list.fingerprint, Ages: make([]byte, 0, 2*len(t.known))}
	for _, k := range t.known {
		e.Ages = append(e.Ages, k.low.age(now), k.high.age(now))
	}
	if group, ok := t.list.of[caller]; ok && group == t.own {
		e.Mates = t.mateAges(now)
	}
	if list != t.list.fingerprint {
		for _, g := range t.list.groups {
			e.Groups = append(e.Groups, g.fingerprint)
		}
	}
	return e
}

func (t *Tracker) mateAges(now time.Duration) []byte {
	ages := make([]byte, 0, len(t.mates))
	for _, id := range t.list.groups[t.own].members {
		ages = append(ages, t.mates[id].age(now))
	}
	return ages
}

// countOwn raises the times of the own group by what is known of each mate.
func (t *Tracker) countOwn(now time.Duration) {
	t.raiseMate(t.self, now)
	times := make([]time.Duration, 0, len(t.mates))
	for _, mate := range t.mates {
		if mate.seen {
			times = append(times, mate.at)
		}
	}
	slices.SortFunc(times, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	own := t.list.groups[t.own]
	if len(times) >= own.low {
		t.known[t.own].low.raise(times[own.low-1])
	}
	if len(times) >= own.high {
		t.known[t.own].high.raise(times[own.high-1])
	}
}

func (t *Tracker) raiseMate(id string, at time.Duration) {
	if mate, ok := t.mates[id]; ok {
		mate.raise(at)
		t.mates[id] = mate
	}
}

// Answered records the answer to a call that was sent at the given time.
func (t *Tracker) Answered(sent time.Duration, from string, e Evidence) {
	t.raiseMate(from, sent)
	if e.List == t.list.fingerprint {
		t.takeAges(sent, e.Ages)
		t.takeMates(sent, e.Mates)
		return
	}
	t.takeChecked(sent, from, e)
}

func (t *Tracker) takeAges(sent time.Duration, ages []byte) {
	if len(ages) != 2*len(t.known) {
		return
	}
	for i := range t.known {
		t.takeGroup(sent, i, ages[2*i:])
	}
}

func (t *Tracker) takeGroup(sent time.Duration, i int, ages []byte) {
	if ages[0] != noAge {
		t.known[i].low.raise(sent - time.Duration(ages[0])*ageUnit)
	}
	if ages[1] != noAge {
		t.known[i].high.raise(sent - time.Duration(ages[1])*ageUnit)
	}
}

func (t *Tracker) takeMates(sent time.Duration, ages []byte) {
	members := t.list.groups[t.own].members
	if len(ages) != len(members) {
		return
	}
	for i, age := range ages {
		if age != noAge {
			t.raiseMate(members[i], sent-time.Duration(age)*ageUnit)
		}
	}
}

// takeChecked takes the groups that both lists have.
func (t *Tracker) takeChecked(sent time.Duration, from string, e Evidence) {
	if len(e.Ages) != 2*len(e.Groups) {
		return
	}
	index := make(map[uint32]int, len(t.list.groups))
	for i, g := range t.list.groups {
		index[g.fingerprint] = i
	}
	for i, fingerprint := range e.Groups {
		group, ok := index[fingerprint]
		if !ok {
			continue
		}
		t.takeGroup(sent, group, e.Ages[2*i:])
		if group == t.own && t.list.of[from] == t.own {
			t.takeMates(sent, e.Mates)
		}
	}
}

// MajorityAsOf returns the latest known time as of which a majority of the listed instances, this one
// included, was heard from. It is false without one, and for an instance that is listed alone: nothing
// would distinguish its isolation from an outage of the store.
func (t *Tracker) MajorityAsOf(now time.Duration) (time.Duration, bool) {
	if t.listed < 2 {
		return 0, false
	}
	t.countOwn(now)
	counts := t.counts()
	slices.SortFunc(counts, func(a, b count) int { return cmp.Compare(b.at, a.at) })
	heard := 0
	for _, c := range counts {
		heard += c.members
		if 2*heard > t.listed {
			return c.at, true
		}
	}
	return 0, false
}

// count is a number of members that were heard from as of a time.
type count struct {
	at      time.Duration
	members int
}

func (t *Tracker) counts() []count {
	counts := make([]count, 0, 2*len(t.known))
	for i, k := range t.known {
		g := t.list.groups[i]
		if k.high.seen {
			k.low.raise(k.high.at)
			counts = append(counts, count{k.high.at, g.high - g.low})
		}
		if k.low.seen {
			counts = append(counts, count{k.low.at, g.low})
		}
	}
	return counts
}
