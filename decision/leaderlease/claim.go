package leaderlease

import "slices"

// Claim names the server that is to lead a database. The zero value is that of a database without promotions, which allows all.
type Claim struct {
	// Version is the version of the stored claim. A claim replaces those of lower versions.
	Version uint64
	Server  string
	// Former holds the servers, other than Server, that an instance may still use. It is empty once they are withdrawn: the promotion
	// may have been ordered then.
	Former []string
	// FormerKnown: there are no others than those in Former, and none of them is being promoted.
	FormerKnown bool
	// HandOver is the former primary of a planned hand-over, which may be used until it has stepped down; else empty.
	HandOver string
	// Lead and HandOverLead identify since when Server and HandOver may be used.
	Lead, HandOverLead Lead
}

// Lead identifies a time for which claims allow a server without a break: it is the version of the last claim before. A server that is
// claimed again has another one.
type Lead uint64

// Allows reports whether a server may be used as the leader.
func (c Claim) Allows(server string) bool {
	_, ok := c.LeadOf(server)
	return ok
}

// LeadOf returns the lead for which a server may be used as the leader, and false if it may not.
func (c Claim) LeadOf(server string) (lead Lead, ok bool) {
	switch {
	case c.Version == 0:
		return 0, true
	case server == c.Server:
		return c.Lead, true
	case c.HandOver != "" && server == c.HandOver:
		return c.HandOverLead, true
	}
	return 0, false
}

// Next returns the claim, without a version, by which successor replaces primary, which is empty if none is known. With handOver
// primary may be used until it has stepped down, unless c does not allow it.
func (c Claim) Next(primary, successor string, handOver bool) Claim {
	if successor == c.Server && c.isWithdrawn() {
		return Claim{Server: successor, FormerKnown: true, Lead: c.Lead} // its order is repeated
	}
	next := Claim{Server: successor, FormerKnown: c.formerKnown(primary), Lead: Lead(c.Version)}
	if successor == c.Server {
		next.Lead = c.Lead
	}
	for _, s := range append([]string{c.Server, c.HandOver, primary}, c.Former...) {
		if s != "" && s != successor && !slices.Contains(next.Former, s) {
			next.Former = append(next.Former, s)
		}
	}
	if lead, ok := c.LeadOf(primary); handOver && ok {
		next.HandOver, next.HandOverLead = primary, lead
	}
	return next
}

// formerKnown reports whether no other servers may be used than those that the claim names, and primary, and none of them is being
// promoted. Without a claim no server was promoted yet. The promotion of a claim without former servers may be under way until its
// server leads: it would lead although it has stepped down before.
func (c Claim) formerKnown(primary string) bool {
	switch {
	case c.Version == 0:
		return primary != ""
	case len(c.Former) == 0:
		return primary == c.Server
	}
	return c.FormerKnown
}

// Withdrawn returns the claim, without a version, that follows c once no instance uses one of its former servers any more. The
// promotion is ordered by it.
func (c Claim) Withdrawn() Claim {
	return Claim{Server: c.Server, FormerKnown: true, Lead: c.Lead}
}

// isWithdrawn reports whether no instance uses another server than that of the claim.
func (c Claim) isWithdrawn() bool {
	return c.Version != 0 && c.FormerKnown && len(c.Former) == 0 && c.HandOver == ""
}

// Ordered returns the server whose promotion may have been ordered by the claim; empty if there is none.
func (c Claim) Ordered() string {
	if len(c.Former) > 0 {
		return ""
	}
	return c.Server
}
