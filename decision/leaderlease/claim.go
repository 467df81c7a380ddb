package leaderlease

import "slices"

// Claim names the server that is to lead a database. The zero value is that of a database without promotions, which allows all.
type Claim struct {
	// Version is the version of the stored claim. A claim replaces those of lower versions.
	Version uint64
	Server  string
	// Former holds the servers, other than Server, that an instance may still use. It is empty once they are withdrawn.
	Former []string
	// FormerKnown: Former holds all of them.
	FormerKnown bool
	// HandOver is the former primary of a planned hand-over, which may be used until it has stepped down; else empty.
	HandOver string
}

// Allows reports whether a server may be used as the leader.
func (c Claim) Allows(server string) bool {
	return c.Version == 0 || server == c.Server || c.HandOver != "" && server == c.HandOver
}

// Next returns the claim, without a version, by which successor replaces primary, which is empty if none is known. With handOver
// primary may be used until it has stepped down.
func (c Claim) Next(primary, successor string, handOver bool) Claim {
	next := Claim{Server: successor, FormerKnown: c.formerKnown(primary)}
	for _, s := range append([]string{c.Server, c.HandOver, primary}, c.Former...) {
		if s != "" && s != successor && !slices.Contains(next.Former, s) {
			next.Former = append(next.Former, s)
		}
	}
	if handOver {
		next.HandOver = primary
	}
	return next
}

// formerKnown reports whether the servers that an instance may use are those that the claim names, and primary. Without a claim no
// server was promoted yet. A claim of an instance that writes no former servers counts once its server leads.
func (c Claim) formerKnown(primary string) bool {
	return c.FormerKnown || primary != "" && (c.Version == 0 || primary == c.Server)
}

// Withdrawn returns the claim, without a version, that follows c once no instance uses one of its former servers any more. The
// promotion is ordered by it.
func (c Claim) Withdrawn() Claim {
	return Claim{Server: c.Server, FormerKnown: true}
}
