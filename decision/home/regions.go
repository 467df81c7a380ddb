package home

import "slices"

// Regions are the regions in which a request may run. The zero value allows all regions. It is immutable.
type Regions struct {
	bound bool
	names []string // sorted, without duplicates
}

// NewRegions returns the regions that a route or an account names; no names allow all regions.
func NewRegions(names []string) Regions {
	if len(names) == 0 {
		return Regions{}
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Regions{bound: true, names: slices.Compact(sorted)}
}

// Bound reports whether not all regions are allowed.
func (r Regions) Bound() bool {
	return r.bound
}

// Empty reports whether no region is allowed.
func (r Regions) Empty() bool {
	return r.bound && len(r.names) == 0
}

// Names returns the allowed regions, sorted; nil if all are allowed. The caller must not change them.
func (r Regions) Names() []string {
	return r.names
}

// Allow reports whether a region is allowed. The empty name stands for an unknown region.
func (r Regions) Allow(region string) bool {
	return !r.bound || region != "" && slices.Contains(r.names, region)
}

// Intersect returns the regions that both r and other allow.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case !r.bound:
		return other
	case !other.bound:
		return r
	}
	common := slices.DeleteFunc(slices.Clone(r.names), func(name string) bool { return !slices.Contains(other.names, name) })
	return Regions{bound: true, names: common}
}

// Covers reports whether r allows every region that other allows.
func (r Regions) Covers(other Regions) bool {
	if !r.bound {
		return true
	}
	return other.bound && !slices.ContainsFunc(other.names, func(name string) bool { return !slices.Contains(r.names, name) })
}

// Compare orders regions by preference: it is positive if a is allowed and b is not, and negative in the opposite case.
func (r Regions) Compare(a, b string) int {
	aAllowed, bAllowed := r.Allow(a), r.Allow(b)
	switch {
	case aAllowed && !bAllowed:
		return 1
	case bAllowed && !aAllowed:
		return -1
	}
	return 0
}
