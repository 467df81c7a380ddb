package serve

// Numbers of the events that this package logs, in the field "event".
const (
	// EventCertificateRead: a certificate was replaced on disk and is used from now on.
	EventCertificateRead = "CYC-1101"
	// EventCertificateUnusable: a certificate was replaced on disk by files that can't be used.
	EventCertificateUnusable = "CYC-1102"
)
