package home

// Verdict tells whether a request can run in its regions now.
type Verdict int

const (
	// Runnable: a server at home may run the request, or it is not known yet that none can.
	Runnable Verdict = iota
	// NoCommonRegion: the route and the account allow no region in common.
	NoCommonRegion
	// NoServer: no server at home takes work.
	NoServer
	// PrimaryAway: only the primary can run the request, and it is in another region.
	PrimaryAway
)

// String returns the verdict in words, for logs.
func (v Verdict) String() string {
	switch v {
	case NoCommonRegion:
		return "the route and the account allow no common region"
	case NoServer:
		return "no server at home takes work"
	case PrimaryAway:
		return "the primary is in another region"
	}
	return "runnable"
}

// Server is what is known about one server of a database.
type Server struct {
	Region    string // empty if unknown
	Leads     bool   // it is the known primary
	TakesWork bool   // it may get new statements
}

// Check returns whether a request that is bound to regions can run on one of the servers of its database.
// needsPrimary is set if only the primary can run it. Without servers nothing is known about the database yet.
func Check(r Regions, servers []Server, needsPrimary bool) Verdict {
	switch {
	case !r.Bound():
		return Runnable
	case r.Empty():
		return NoCommonRegion
	case len(servers) == 0:
		return Runnable
	}
	taking, primaryAway := false, false
	for _, s := range servers {
		atHome := r.Allow(s.Region)
		if atHome && s.Leads {
			return Runnable // also while it leaves: it serves until its successor leads
		}
		taking = taking || atHome && s.TakesWork
		primaryAway = primaryAway || s.Leads
	}
	switch {
	case !taking:
		return NoServer
	case needsPrimary && primaryAway:
		return PrimaryAway
	}
	return Runnable
}
