package leaderlease

import (
	"slices"

	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

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
	// Unconfirmed: an order of an earlier claim may still be carried out and promote another server. Server may not be used until the
	// platform has accepted its order, since its commits would be lost then.
	Unconfirmed bool
	// Answered: the platform has accepted the order of the claim and checks fences, so that it carries out no earlier order any more.
	Answered bool
	// Received is the end of Server's log when it was found to have all acknowledged commits after the withdrawal; zero if that isn't known.
	Received position.Position
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
		return c.Lead, !c.Unconfirmed
	case c.HandOver != "" && server == c.HandOver:
		return c.HandOverLead, true
	}
	return 0, false
}

// Next returns the claim, without a version, by which successor replaces primary, which is empty if none is known. With handOver
// primary may be used until it has stepped down, unless c does not allow it.
func (c Claim) Next(primary, successor string, handOver bool) Claim {
	if successor == c.Server && c.IsWithdrawn() {
		return c.Withdrawn() // its order is repeated
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

// NextFenced is Next on a platform that checks fences. As long as no order of c or of an earlier claim is known to be the last one that is
// carried out, a server that has stepped down may lead again, so that a hand-over doesn't leave it in use.
func (c Claim) NextFenced(primary, successor string, handOver bool) Claim {
	next := c.Next(primary, successor, handOver && !c.hasOutstanding())
	next.Unconfirmed = c.MayPromoteOther(successor)
	if len(next.Former) > 0 {
		next.FormerKnown = next.FormerKnown && !c.hasOutstanding()
	}
	return next
}

// hasOutstanding reports whether the order of c, or of an earlier claim, may still be carried out.
func (c Claim) hasOutstanding() bool {
	if c.Ordered() == "" {
		return c.Unconfirmed || c.Version != 0 && !c.FormerKnown
	}
	return c.Unconfirmed || !c.Answered
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
	return Claim{Server: c.Server, FormerKnown: true, Lead: c.Lead, Unconfirmed: c.Unconfirmed, Received: c.Received}
}

// Confirmed returns the claim, without a version, that follows c once a platform that checks fences has accepted its order.
func (c Claim) Confirmed() Claim {
	return Claim{Server: c.Server, FormerKnown: true, Lead: c.Lead, Answered: true}
}

// MayPromoteOther reports whether the order of c, or of an earlier claim, may still be carried out and promote another server than the
// given one. It holds for a platform that checks fences.
func (c Claim) MayPromoteOther(server string) bool {
	ordered := c.Ordered()
	return c.Unconfirmed || !c.Answered && ordered != "" && ordered != server
}

// HasVerified reports whether the server of a claim that has no answer yet still has all acknowledged commits if its log ends at received:
// since it was found to have them, nothing was acknowledged at another server.
func (c Claim) HasVerified(received position.Position) bool {
	return c.IsWithdrawn() && !c.Answered && !c.Received.IsZero() && !received.Less(c.Received)
}

// IsWithdrawn reports whether no instance uses another server than that of the claim.
func (c Claim) IsWithdrawn() bool {
	return c.Version != 0 && c.FormerKnown && len(c.Former) == 0 && c.HandOver == ""
}

// Ordered returns the server whose promotion may have been ordered by the claim; empty if there is none.
func (c Claim) Ordered() string {
	if len(c.Former) > 0 {
		return ""
	}
	return c.Server
}
