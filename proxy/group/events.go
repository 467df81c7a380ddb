package group

// Event numbers, logged in the field "event".
const (
	// EventPrimaryChanged: another server is the primary, or a new term began.
	EventPrimaryChanged = "CYC-2001"
	// EventPrimaryLost: no server is known to be the primary of the highest term.
	EventPrimaryLost = "CYC-2002"
	// EventServerFailing: a server stopped answering probes.
	EventServerFailing = "CYC-2003"
	// EventServerAnswers: a server answers probes again.
	EventServerAnswers = "CYC-2004"
	// EventFenceOrdered: this instance fences a server to begin a new term.
	EventFenceOrdered = "CYC-2005"
	// EventFenceFailed: a fence was refused or not answered; it may have taken effect.
	EventFenceFailed = "CYC-2006"
	// EventPromoteOrdered: this instance promotes a server it has fenced.
	EventPromoteOrdered = "CYC-2007"
	// EventPromoteAccepted: a server accepted its promotion.
	EventPromoteAccepted = "CYC-2008"
	// EventPromoteFailed: a promotion was refused or not answered; it may have taken effect.
	EventPromoteFailed = "CYC-2009"
	// EventConfirmUnknown: a primary acknowledged a write that then could not be confirmed.
	EventConfirmUnknown = "CYC-2010"
	// EventLostWrite: a session's confirmed position is not in the current primary's history.
	EventLostWrite = "CYC-2011"
	// EventWrongServer: a server with another name answered at a server's address.
	EventWrongServer = "CYC-2012"
)
