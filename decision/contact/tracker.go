package contact

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ageUnit is the unit of ages in messages.
	ageUnit = 40 * time.Millisecond
	// unknownAge stands for an age above the largest that can be sent, 10.16 s.
	unknownAge = 255
)

// Evidence is what an instance tells in the answer to a call. Ages are in units of 40 ms, rounded up;
// 255 stands for longer ago or never.
type Evidence struct {
	// ListFingerprint is the fingerprint of the sender's list.
	ListFingerprint uint64
	// GroupAges holds the ages of the low and the high number for each group of the list.
	GroupAges []byte
	// MemberAges holds the ages of the members of the sender's group, for a caller of that group only.
	MemberAges []byte
	// GroupFingerprints holds the fingerprints of the groups, for a caller with another list only.
	GroupFingerprints []uint32
}

// lastEvent is the latest time of an event, if there was one.
type lastEvent struct {
	at   time.Duration
	seen bool
}

func (i *lastEvent) raise(at time.Duration) {
	if !i.seen || at > i.at {
		*i = lastEvent{at: at, seen: true}
	}
}

func (i lastEvent) age(now time.Duration) byte {
	if !i.seen {
		return unknownAge
	}
	units := (max(now-i.at, 0) + ageUnit - 1) / ageUnit
	return byte(min(units, unknownAge))
}

// groupTimes are the latest times as of which the low and the high number of a group were heard from.
type groupTimes struct {
	low, high lastEvent
}

// Tracker keeps what one instance knows. All times are spans since one monotonic origin. It is not safe
// for concurrent use.
type Tracker struct {
	self        string
	groupCount  int      // groups
	members     []Member // as given
	grouping    *grouping
	memberCount int
	ownGroup    int // own group
	ownMembers  map[string]lastEvent
	groupTimes  []groupTimes // by group
}

// NewTracker returns the tracker of an instance that knows no list yet.
func NewTracker(self string) *Tracker {
	t := &Tracker{self: self, groupCount: wantedGroups, grouping: &grouping{}}
	t.SetMembers(nil)
	return t
}

// SetMembers replaces the list. It needs to name this instance, whose failure domain it tells; without
// that, this instance counts as a member of an unnamed one. What is known of unchanged groups stays.
func (t *Tracker) SetMembers(members []Member) {
	if t.grouping.groups != nil && slices.Equal(members, t.members) {
		return // the list is read every few seconds and seldom changes
	}
	t.members = slices.Clone(members)
	t.setGrouping(newGrouping(withSelf(members, t.self), t.groupCount))
}

func (t *Tracker) setGrouping(next *grouping) {
	if next.fingerprint == t.grouping.fingerprint && len(t.groupTimes) > 0 {
		return
	}
	before := t.timesByFingerprint()
	t.grouping, t.memberCount, t.ownGroup = next, len(next.groupOf), next.groupOf[t.self]
	t.groupTimes = make([]groupTimes, len(next.groups))
	for i, g := range next.groups {
		t.groupTimes[i] = before[g.fingerprint]
	}
	t.resetOwnMembers()
}

func (t *Tracker) timesByFingerprint() map[uint32]groupTimes {
	known := make(map[uint32]groupTimes, len(t.groupTimes))
	for i, g := range t.grouping.groups {
		known[g.fingerprint] = t.groupTimes[i]
	}
	return known
}

func (t *Tracker) resetOwnMembers() {
	mates := make(map[string]lastEvent, len(t.grouping.groups[t.ownGroup].members))
	for _, id := range t.grouping.groups[t.ownGroup].members {
		mates[id] = t.ownMembers[id]
	}
	t.ownMembers = mates
}

// ListFingerprint returns the fingerprint of the list, which a caller sends with its call.
func (t *Tracker) ListFingerprint() uint64 {
	return t.grouping.fingerprint
}

// Evidence returns what to answer to a call. Caller and its list are those named in the call.
func (t *Tracker) Evidence(now time.Duration, caller string, list uint64) Evidence {
	t.updateOwnGroup(now)
	e := Evidence{ListFingerprint: t.grouping.fingerprint, GroupAges: make([]byte, 0, 2*len(t.groupTimes))}
	for _, k := range t.groupTimes {
		e.GroupAges = append(e.GroupAges, k.low.age(now), k.high.age(now))
	}
	if group, ok := t.grouping.groupOf[caller]; ok && group == t.ownGroup {
		e.MemberAges = t.memberAges(now)
	}
	if list != t.grouping.fingerprint {
		for _, g := range t.grouping.groups {
			e.GroupFingerprints = append(e.GroupFingerprints, g.fingerprint)
		}
	}
	return e
}

func (t *Tracker) memberAges(now time.Duration) []byte {
	ages := make([]byte, 0, len(t.ownMembers))
	for _, id := range t.grouping.groups[t.ownGroup].members {
		ages = append(ages, t.ownMembers[id].age(now))
	}
	return ages
}

// updateOwnGroup raises the times of the own group by what is known of each mate.
func (t *Tracker) updateOwnGroup(now time.Duration) {
	t.raiseMember(t.self, now)
	times := make([]time.Duration, 0, len(t.ownMembers))
	for _, mate := range t.ownMembers {
		if mate.seen {
			times = append(times, mate.at)
		}
	}
	slices.SortFunc(times, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	own := t.grouping.groups[t.ownGroup]
	if len(times) >= own.low {
		t.groupTimes[t.ownGroup].low.raise(times[own.low-1])
	}
	if len(times) >= own.high {
		t.groupTimes[t.ownGroup].high.raise(times[own.high-1])
	}
}

func (t *Tracker) raiseMember(id string, at time.Duration) {
	if mate, ok := t.ownMembers[id]; ok {
		mate.raise(at)
		t.ownMembers[id] = mate
	}
}

// RecordAnswer records the answer to a call that was sent at the given time.
func (t *Tracker) RecordAnswer(sent time.Duration, from string, e Evidence) {
	t.raiseMember(from, sent)
	if e.ListFingerprint == t.grouping.fingerprint {
		t.mergeGroupAges(sent, e.GroupAges)
		t.mergeMemberAges(sent, e.MemberAges)
		return
	}
	t.mergeCommonGroups(sent, from, e)
}

func (t *Tracker) mergeGroupAges(sent time.Duration, ages []byte) {
	if len(ages) != 2*len(t.groupTimes) {
		return
	}
	for i := range t.groupTimes {
		t.mergeGroup(sent, i, ages[2*i:])
	}
}

func (t *Tracker) mergeGroup(sent time.Duration, i int, ages []byte) {
	if ages[0] != unknownAge {
		t.groupTimes[i].low.raise(sent - time.Duration(ages[0])*ageUnit)
	}
	if ages[1] != unknownAge {
		t.groupTimes[i].high.raise(sent - time.Duration(ages[1])*ageUnit)
	}
}

func (t *Tracker) mergeMemberAges(sent time.Duration, ages []byte) {
	members := t.grouping.groups[t.ownGroup].members
	if len(ages) != len(members) {
		return
	}
	for i, age := range ages {
		if age != unknownAge {
			t.raiseMember(members[i], sent-time.Duration(age)*ageUnit)
		}
	}
}

// mergeCommonGroups takes the groups that both lists have.
func (t *Tracker) mergeCommonGroups(sent time.Duration, from string, e Evidence) {
	if len(e.GroupAges) != 2*len(e.GroupFingerprints) {
		return
	}
	index := make(map[uint32]int, len(t.grouping.groups))
	for i, g := range t.grouping.groups {
		index[g.fingerprint] = i
	}
	for i, fingerprint := range e.GroupFingerprints {
		group, ok := index[fingerprint]
		if !ok {
			continue
		}
		t.mergeGroup(sent, group, e.GroupAges[2*i:])
		if group == t.ownGroup && t.grouping.groupOf[from] == t.ownGroup {
			t.mergeMemberAges(sent, e.MemberAges)
		}
	}
}

// MajorityAsOf returns the latest known time as of which a majority of the listed instances, this one
// included, was heard from. It is false without one, and for an instance that is listed alone: nothing
// would distinguish its isolation from an outage of the store.
func (t *Tracker) MajorityAsOf(now time.Duration) (time.Duration, bool) {
	if t.memberCount < 2 {
		return 0, false
	}
	t.updateOwnGroup(now)
	counts := t.heardCounts()
	slices.SortFunc(counts, func(a, b heardCount) int { return cmp.Compare(b.at, a.at) })
	heard := 0
	for _, c := range counts {
		heard += c.members
		if 2*heard > t.memberCount {
			return c.at, true
		}
	}
	return 0, false
}

// heardCount is a number of members that were heard from as of a time.
type heardCount struct {
	at      time.Duration
	members int
}

func (t *Tracker) heardCounts() []heardCount {
	counts := make([]heardCount, 0, 2*len(t.groupTimes))
	for i, k := range t.groupTimes {
		g := t.grouping.groups[i]
		if k.high.seen {
			k.low.raise(k.high.at)
			counts = append(counts, heardCount{k.high.at, g.high - g.low})
		}
		if k.low.seen {
			counts = append(counts, heardCount{k.low.at, g.low})
		}
	}
	return counts
}
