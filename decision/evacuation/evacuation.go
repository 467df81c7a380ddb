package evacuation

import (
	"maps"
	"slices"
	"time"
)

// TransactionFraction is the part of the bound for which open transactions may go on. The rest covers the statement that is
// under way at that time and its connection.
const TransactionFraction = 0.8

// Bound is the time within which a server in an evacuated domain must not get statements any more.
type Bound time.Duration

// transactionTime is how long open transactions may go on after the instance has learned of an evacuation.
func (b Bound) transactionTime() time.Duration {
	return time.Duration(TransactionFraction * float64(b))
}

// entry is one evacuation as known by this instance.
type entry struct {
	version   uint64
	learnedAt time.Duration
}

// Set is the evacuated failure domains that one instance knows. It is immutable; the zero value is empty.
type Set struct {
	bound   Bound
	domains map[string]entry
}

// NewSet returns an empty set.
func NewSet(bound Bound) Set {
	return Set{bound: bound}
}

// Next returns the set after a read of all evacuations at a time: the version of the object of each domain. began and ended
// are the domains that are new and gone, sorted.
func (s Set) Next(now time.Duration, versions map[string]uint64) (next Set, began, ended []string) {
	next = Set{bound: s.bound, domains: make(map[string]entry, len(versions))}
	for domain, version := range versions {
		learnedAt := now
		if known, ok := s.domains[domain]; ok {
			learnedAt = known.learnedAt
		} else {
			began = append(began, domain)
		}
		next.domains[domain] = entry{version, learnedAt}
	}
	for domain := range s.domains {
		if _, ok := versions[domain]; !ok {
			ended = append(ended, domain)
		}
	}
	slices.Sort(began)
	slices.Sort(ended)
	return next, began, ended
}

// Contains reports whether a domain is evacuated, so that its servers get nothing new.
func (s Set) Contains(domain string) bool {
	_, ok := s.domains[domain]
	return ok
}

// TransactionEnd returns the time at which transactions that are open in a domain must end. ok is false if the domain is not
// evacuated.
func (s Set) TransactionEnd(domain string) (end time.Duration, ok bool) {
	e, ok := s.domains[domain]
	return e.learnedAt + s.bound.transactionTime(), ok
}

// MustEnd reports whether a transaction that is open in a domain gets no further statement.
func (s Set) MustEnd(now time.Duration, domain string) bool {
	end, ok := s.TransactionEnd(domain)
	return ok && now >= end
}

// Domains returns the evacuated domains, sorted.
func (s Set) Domains() []string {
	return slices.Sorted(maps.Keys(s.domains))
}

// Version returns the version of the evacuation of a domain, 0 if there is none.
func (s Set) Version(domain string) uint64 {
	return s.domains[domain].version
}

// Report is what one instance tells about the evacuation of a domain.
type Report struct {
	// Version of the evacuation that the instance has applied; 0 if it has applied none.
	Version uint64
	// Pending are the databases whose primary is in the domain although a fit server elsewhere could replace it.
	Pending []string
}

// InForce reports whether an evacuation of a version holds, given the reports of all instances that answer.
func InForce(version uint64, reports []Report) bool {
	return !slices.ContainsFunc(reports, func(r Report) bool { return r.Version < version || len(r.Pending) > 0 })
}
