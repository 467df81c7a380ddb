package node

import "github.com/sirupsen/logrus"

// Numbers of the events that this package logs, in the field "event".
const (
	// EventStarted: the instance has started.
	EventStarted = "CYC-6001"
	// EventStopping: the instance stops taking callers.
	EventStopping = "CYC-6002"
	// EventStopped: the instance has stopped.
	EventStopped = "CYC-6003"
	// EventReloaded: the settings file was read again.
	EventReloaded = "CYC-6004"
	// EventReloadFailed: the settings file is not valid; the settings in force stay.
	EventReloadFailed = "CYC-6005"
	// EventConfigAdopted: another configuration is in force.
	EventConfigAdopted = "CYC-6006"
	// EventConfigRefused: a configuration in the store is older than that in force.
	EventConfigRefused = "CYC-6007"
	// EventStoreLost: the store does not answer calls of one kind any more.
	EventStoreLost = "CYC-6008"
	// EventStoreRecovered: the store answers them again.
	EventStoreRecovered = "CYC-6009"
	// EventServerChanged: a server's entry has changed.
	EventServerChanged = "CYC-6010"
	// EventServerIgnored: an entry names no server that can be used.
	EventServerIgnored = "CYC-6011"
	// EventReady: the instance became ready for callers.
	EventReady = "CYC-6012"
	// EventRegisterFailed: the entry of this instance was not written.
	EventRegisterFailed = "CYC-6013"
	// EventHandBackFailed: the quota was not handed back at the stop.
	EventHandBackFailed = "CYC-6014"
	// EventListenerEnded: a listener ended.
	EventListenerEnded = "CYC-6015"
	// EventPrimaryLost: the primary of a database is to be replaced.
	EventPrimaryLost = "CYC-6016"
	// EventPrimarySuspected: the primary of a database does not answer this instance.
	EventPrimarySuspected = "CYC-6017"
	// EventPromoting: this instance orders the promotion of a server.
	EventPromoting = "CYC-6018"
	// EventPromoted: the platform has accepted it.
	EventPromoted = "CYC-6019"
	// EventPromotionFailed: it was refused or not answered.
	EventPromotionFailed = "CYC-6020"
	// EventClaimLost: another instance orders the promotion.
	EventClaimLost = "CYC-6021"
	// EventAssignmentInvalid: the assignment of quota in the store has no valid form.
	EventAssignmentInvalid = "CYC-6023"
	// EventAccountLimits: the limits of a client account in the configuration in force.
	EventAccountLimits = "CYC-6024"
	// EventConfigUnreadable: the configuration in the store can't be read.
	EventConfigUnreadable = "CYC-6025"
	// EventNotReady: the instance stopped being ready for callers.
	EventNotReady = "CYC-6026"
	// EventEntryRemoved: the entry of an instance that was lost for good was taken off the list, or could not be.
	EventEntryRemoved = "CYC-6027"
	// EventEntryMissing: the entry of this instance is missing in the list; it is written again.
	EventEntryMissing = "CYC-6028"
)

// event returns an entry with the number of an event.
func event(log logrus.FieldLogger, number string) *logrus.Entry {
	return log.WithField("event", number)
}
