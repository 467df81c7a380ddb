package contact

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"
)

// wantedGroups is the approximate number of groups; the number per failure domain is rounded up to a whole
// one. At 2,100 instances, 64 groups of 33 members come close to the smallest message, which carries the
// ages of all groups and of the members of one group.
const wantedGroups = 64

// Member is a listed instance.
type Member struct {
	ID            string
	FailureDomain string
}

// group is a subset of the list whose members share a failure domain.
type group struct {
	members     []string // sorted
	fingerprint uint32   // of the members
	low, high   int      // member counts for which groupTimes are kept
}

// grouping is a membership list split into groups. The same list yields the same grouping everywhere.
type grouping struct {
	groups      []group
	groupOf     map[string]int // index in groups, by member
	fingerprint uint64         // of the whole list
}

// groupKey identifies a group and determines its position.
type groupKey struct {
	domain string
	bucket uint64
}

func compareGroupKeys(a, b groupKey) int {
	return cmp.Or(strings.Compare(a.domain, b.domain), cmp.Compare(a.bucket, b.bucket))
}

// newGrouping splits a membership list into about the wanted number of groups.
func newGrouping(members []Member, wanted int) *grouping {
	members = distinct(members)
	buckets := bucketsPerDomain(members, wanted)
	byKey := map[groupKey][]string{}
	for _, m := range members {
		key := groupKey{m.FailureDomain, hash(m.ID) % buckets}
		byKey[key] = append(byKey[key], m.ID)
	}
	keys := make([]groupKey, 0, len(byKey))
	for key := range byKey {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareGroupKeys)
	g := &grouping{groupOf: make(map[string]int, len(members))}
	for i, key := range keys {
		next := newGroup(key, byKey[key])
		g.groups = append(g.groups, next)
		for _, id := range next.members {
			g.groupOf[id] = i
		}
	}
	g.fingerprint = g.computeFingerprint()
	return g
}

// distinct returns the members sorted and without duplicate IDs.
func distinct(members []Member) []Member {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(strings.Compare(a.ID, b.ID), strings.Compare(a.FailureDomain, b.FailureDomain))
	})
	return slices.CompactFunc(sorted, func(a, b Member) bool { return a.ID == b.ID })
}

// withSelf returns the members, with this instance added if the list doesn't contain it yet.
func withSelf(members []Member, self string) []Member {
	if slices.ContainsFunc(members, func(m Member) bool { return m.ID == self }) {
		return members
	}
	return append(slices.Clone(members), Member{ID: self})
}

func bucketsPerDomain(members []Member, wanted int) uint64 {
	domains := map[string]struct{}{}
	for _, m := range members {
		domains[m.FailureDomain] = struct{}{}
	}
	n := max(len(domains), 1)
	return uint64((wanted + n - 1) / n)
}

func newGroup(key groupKey, members []string) group {
	n := len(members)
	named := append([]string{key.domain}, members...)
	return group{
		members:     members,
		fingerprint: uint32(hash(strings.Join(named, "\x00"))),
		low:         max(n-(n+3)/4, 1),
		high:        n - n/16,
	}
}

// computeFingerprint hashes the fingerprints of all groups in order, because ages are sent in that order.
func (g *grouping) computeFingerprint() uint64 {
	buf := make([]byte, 0, 4*len(g.groups))
	for _, each := range g.groups {
		buf = binary.BigEndian.AppendUint32(buf, each.fingerprint)
	}
	return hash(string(buf))
}

func hash(s string) uint64 {
	sum := sha256.Sum256([]byte(s))
	return binary.BigEndian.Uint64(sum[:8])
}
