package peer

import (
	"github.com/cyclamenstile/cyclamenstile/decision/contact"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
)

// EvidenceToWire converts evidence of contact to its form in digests.
func EvidenceToWire(e contact.Evidence) *peerpb.Contact {
	return &peerpb.Contact{List: e.ListFingerprint, Ages: e.GroupAges, Mates: e.MemberAges, Groups: e.GroupFingerprints}
}

// EvidenceFromWire is the inverse of EvidenceToWire. A nil Contact gives empty evidence.
func EvidenceFromWire(c *peerpb.Contact) contact.Evidence {
	return contact.Evidence{ListFingerprint: c.GetList(), GroupAges: c.GetAges(), MemberAges: c.GetMates(), GroupFingerprints: c.GetGroups()}
}
