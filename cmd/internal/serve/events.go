package serve

// Numbers of the events that this package logs, in the field "event".
const (
	// EventCertificateRead: a certificate was replaced on disk; the new one was loaded and is in use.
	EventCertificateRead = "CYC-1101"
	// EventCertificateUnusable: a certificate was replaced on disk by files that can't be loaded; the previous
	// one stays in use.
	EventCertificateUnusable = "CYC-1102"
)
