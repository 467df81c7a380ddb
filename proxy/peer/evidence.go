package peer

import (
	"github.com/cyclamenstile/cyclamenstile/decision/contact"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
)

// EvidenceToWire returns the evidence of contact as digests carry it.
func EvidenceToWire(e contact.Evidence) *peerpb.Contact {
	return &peerpb.Contact{List: e.List, Ages: e.Ages, Mates: e.Mates, Groups: e.Groups}
}

// EvidenceFromWire is the reverse of EvidenceToWire; a digest without evidence gives none.
func EvidenceFromWire(c *peerpb.Contact) contact.Evidence {
	return contact.Evidence{List: c.GetList(), Ages: c.GetAges(), Mates: c.GetMates(), Groups: c.GetGroups()}
}
