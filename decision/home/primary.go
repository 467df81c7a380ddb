package home

import "time"

// RegionsOfPrimary returns the regions in which the primary of a database belongs: those that all routes of the database
// allow which name regions. ok is false if no route names any, or if they have none in common.
func RegionsOfPrimary(routes []Regions) (common Regions, ok bool) {
	for _, r := range routes {
		common = common.Intersect(r)
	}
	return common, common.Bound() && !common.Empty()
}

// Candidate is a server that might become the primary.
type Candidate struct {
	Region    string // empty if unknown
	Leaving   bool
	Evacuated bool
	// Warmup is how much longer the server is slow after its start.
	Warmup time.Duration
}

// MayLeadAtHome reports whether a primary may be moved to a server, provided that it answers.
func (c Candidate) MayLeadAtHome(r Regions) bool {
	return r.Bound() && r.Allow(c.Region) && !c.Leaving && !c.Evacuated && c.Warmup <= 0
}

// IsAway reports whether a primary in the given region is to be moved: it is outside the regions where it belongs, and a
// candidate at home may take over. A database whose routes name no regions passes the zero value.
func IsAway(r Regions, primaryRegion string, candidates []Candidate) bool {
	if !r.Bound() || r.Allow(primaryRegion) {
		return false
	}
	for _, c := range candidates {
		if c.MayLeadAtHome(r) {
			return true
		}
	}
	return false
}
