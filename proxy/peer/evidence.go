package peer

import (
	"github.com/cyclamenstile/cyclamenstile/decision/contact"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
)

// EvidenceToWire returns the evidence of contact as digests carry it.
func EvidenceToWire(e contact.Evidence) *peerpb.Contact {
	return &peerpb.Contact{List: e.ListFingerprint, Ages: e.GroupAges, Mates: e.MemberAges, Groups: e.GroupFingerprints}
}

// EvidenceFromWire is the reverse of EvidenceToWire; a digest without evidence gives none.
func EvidenceFromWire(c *peerpb.Contact) contact.Evidence {
	return contact.Evidence{ListFingerprint: c.GetList(), GroupAges: c.GetAges(), MemberAges: c.GetMates(), GroupFingerprints: c.GetGroups()}
}
