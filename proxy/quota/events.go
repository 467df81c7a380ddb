package quota

// Event numbers, logged in the field "event".
const (
	// EventFractions: the fractions that this instance may use have changed.
	EventFractions = "CYC-4001"
	// EventRecordUnreadable: the record of fractions can't be read from the store.
	EventRecordUnreadable = "CYC-4002"
	// EventRecordNotWritten: the record of fractions can't be written to the store.
	EventRecordNotWritten = "CYC-4003"
	// EventRecordInvalid: the record of fractions can't be decoded.
	EventRecordInvalid = "CYC-4004"
	// EventRecordConflict: another instance wrote the record first; the write is retried with a new plan.
	EventRecordConflict = "CYC-4005"
	// EventDrained: a draining instance has released all fractions.
	EventDrained = "CYC-4006"
	// EventGrantFailed: a pool owner did not answer a request for tokens.
	EventGrantFailed = "CYC-4007"
	// EventLoanFailed: a holder did not answer a request for its fractions.
	EventLoanFailed = "CYC-4008"
	// EventHandBackFailed: a hand-back to a holder failed; the loan ends when it expires.
	EventHandBackFailed = "CYC-4009"
)
