package contact

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ageUnit is the unit of ages in messages.
	ageUnit = 40 * time.Millisecond
	// unknownAge is sent if there was no event, or if its age exceeds the largest that can be sent, 10.16 s.
	unknownAge = 255
)

// Evidence is the content of an answer to a call. Ages are in units of 40 ms, rounded up; 255 means longer
// ago or never.
type Evidence struct {
	// ListFingerprint is the fingerprint of the sender's membership list.
	ListFingerprint uint64
	// GroupAges holds two ages for each group of the list: those of the low and of the high time.
	GroupAges []byte
	// MemberAges holds the ages of the members of the sender's group. It is sent only to a caller of that group.
	MemberAges []byte
	// GroupFingerprints holds the fingerprints of the groups. It is sent only to a caller with a different list.
	GroupFingerprints []uint32
}

// lastEvent is the time of the latest event, if there was one.
type lastEvent struct {
	at   time.Duration
	seen bool
}

func (e *lastEvent) raise(at time.Duration) {
	if !e.seen || at > e.at {
		*e = lastEvent{at: at, seen: true}
	}
}

func (e lastEvent) age(now time.Duration) byte {
	if !e.seen {
		return unknownAge
	}
	units := (max(now-e.at, 0) + ageUnit - 1) / ageUnit
	return byte(min(units, unknownAge))
}

// groupTimes holds the latest times as of which group.low and group.high members of a group were heard from.
type groupTimes struct {
	low, high lastEvent
}

// Tracker records as of when one instance has heard from the others. All times are durations since one
// monotonic origin. It is not safe for concurrent use.
type Tracker struct {
	self        string
	groupCount  int      // number of groups to split the list into
	members     []Member // as passed to SetMembers
	grouping    *grouping
	memberCount int
	ownGroup    int // index in grouping.groups
	ownMembers  map[string]lastEvent
	groupTimes  []groupTimes // indexed like grouping.groups
}

// NewTracker returns the tracker of an instance that has no membership list yet.
func NewTracker(self string) *Tracker {
	t := &Tracker{self: self, groupCount: wantedGroups, grouping: &grouping{}}
	t.SetMembers(nil)
	return t
}

// SetMembers replaces the membership list. If the list doesn't contain this instance, the instance is added
// with an empty failure domain. Recorded times of unchanged groups are kept.
func (t *Tracker) SetMembers(members []Member) {
	if t.grouping.groups != nil && slices.Equal(members, t.members) {
		return // the list is read every few seconds and rarely changes
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
	t.updateOwnMembers()
}

func (t *Tracker) timesByFingerprint() map[uint32]groupTimes {
	times := make(map[uint32]groupTimes, len(t.groupTimes))
	for i, g := range t.grouping.groups {
		times[g.fingerprint] = t.groupTimes[i]
	}
	return times
}

func (t *Tracker) updateOwnMembers() {
	members := make(map[string]lastEvent, len(t.grouping.groups[t.ownGroup].members))
	for _, id := range t.grouping.groups[t.ownGroup].members {
		members[id] = t.ownMembers[id]
	}
	t.ownMembers = members
}

// ListFingerprint returns the fingerprint of the membership list, which is sent with each call.
func (t *Tracker) ListFingerprint() uint64 {
	return t.grouping.fingerprint
}

// Evidence returns the answer to a call. caller and list are the caller's name and list fingerprint.
func (t *Tracker) Evidence(now time.Duration, caller string, list uint64) Evidence {
	t.updateOwnGroup(now)
	e := Evidence{ListFingerprint: t.grouping.fingerprint, GroupAges: make([]byte, 0, 2*len(t.groupTimes))}
	for _, times := range t.groupTimes {
		e.GroupAges = append(e.GroupAges, times.low.age(now), times.high.age(now))
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

// updateOwnGroup raises the times of this instance's group according to the times of its members.
func (t *Tracker) updateOwnGroup(now time.Duration) {
	t.raiseMember(t.self, now)
	times := make([]time.Duration, 0, len(t.ownMembers))
	for _, member := range t.ownMembers {
		if member.seen {
			times = append(times, member.at)
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
	if member, ok := t.ownMembers[id]; ok {
		member.raise(at)
		t.ownMembers[id] = member
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

// mergeCommonGroups merges the ages of those groups that are the same in both lists.
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
// included, was heard from. It returns false if there is none, and if this instance is the only one listed:
// it could not distinguish its own isolation from an outage of the store.
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

// heardCount is the number of members heard from as of a time.
type heardCount struct {
	at      time.Duration
	members int
}

func (t *Tracker) heardCounts() []heardCount {
	counts := make([]heardCount, 0, 2*len(t.groupTimes))
	for i, times := range t.groupTimes {
		g := t.grouping.groups[i]
		if times.high.seen {
			times.low.raise(times.high.at)
			counts = append(counts, heardCount{times.high.at, g.high - g.low})
		}
		if times.low.seen {
			counts = append(counts, heardCount{times.low.at, g.low})
		}
	}
	return counts
}
