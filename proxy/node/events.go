package node

import "github.com/sirupsen/logrus"

// Numbers of the events logged by this package, in the field "event".
const (
	// EventStarted: the instance has started.
	EventStarted = "CYC-6001"
	// EventStopping: the instance has begun a graceful stop.
	EventStopping = "CYC-6002"
	// EventStopped: the instance has stopped.
	EventStopped = "CYC-6003"
	// EventReloaded: the settings file was read again.
	EventReloaded = "CYC-6004"
	// EventReloadFailed: the settings file is invalid; the settings in force stay.
	EventReloadFailed = "CYC-6005"
	// EventConfigAdopted: a new configuration is in force.
	EventConfigAdopted = "CYC-6006"
	// EventConfigRefused: a configuration in the store is older than that in force and was ignored.
	EventConfigRefused = "CYC-6007"
	// EventStoreUnavailable: calls to the store for one kind of objects have begun to fail.
	EventStoreUnavailable = "CYC-6008"
	// EventStoreRecovered: the store answers calls for that kind again.
	EventStoreRecovered = "CYC-6009"
	// EventServerChanged: the entry of a server has changed or was deleted.
	EventServerChanged = "CYC-6010"
	// EventServerIgnored: an invalid server entry was ignored.
	EventServerIgnored = "CYC-6011"
	// EventReady: the instance became ready for callers.
	EventReady = "CYC-6012"
	// EventRegisterFailed: the entry of this instance could not be written.
	EventRegisterFailed = "CYC-6013"
	// EventHandBackFailed: quota could not be handed back during a stop.
	EventHandBackFailed = "CYC-6014"
	// EventListenerEnded: a listener ended unexpectedly.
	EventListenerEnded = "CYC-6015"
	// EventPrimaryLost: the primary of a database must be replaced.
	EventPrimaryLost = "CYC-6016"
	// EventPrimarySuspected: the primary of a database does not answer this instance.
	EventPrimarySuspected = "CYC-6017"
	// EventPromoting: this instance orders the promotion of a server.
	EventPromoting = "CYC-6018"
	// EventPromoted: the platform has accepted the promotion.
	EventPromoted = "CYC-6019"
	// EventPromotionFailed: a promotion, or the step-down of the old primary, failed.
	EventPromotionFailed = "CYC-6020"
	// EventClaimLost: another instance has claimed the promotion.
	EventClaimLost = "CYC-6021"
	// EventAssignmentInvalid: the quota assignment in the store can't be decoded.
	EventAssignmentInvalid = "CYC-6023"
	// EventAccountLimits: the limits of a client account in the configuration in force.
	EventAccountLimits = "CYC-6024"
	// EventConfigUnreadable: the configuration in the store can't be decoded.
	EventConfigUnreadable = "CYC-6025"
	// EventNotReady: the instance is no longer ready for callers.
	EventNotReady = "CYC-6026"
	// EventEntryRemoved: the entry of a lost instance was removed from the list, or its removal failed.
	EventEntryRemoved = "CYC-6027"
	// EventEntryMissing: the entry of this instance is missing from the list and is written again.
	EventEntryMissing = "CYC-6028"
	// EventStoreEra: this instance has learned of an era of the store, which rises when the store comes back from a copy.
	EventStoreEra = "CYC-6029"
	// EventEntriesKept: server entries from before a restore stay in use for a while.
	EventEntriesKept = "CYC-6030"
	// EventPromotionWithheld: no promotion is claimed yet, since the store came back from a copy a moment ago.
	EventPromotionWithheld = "CYC-6031"
	// EventPrimaryChanged: this instance takes another server than before for the primary of a database.
	EventPrimaryChanged = "CYC-6032"
	// EventWithdrawn: no instance uses a former primary any more, or the order to withdraw it has failed.
	EventWithdrawn = "CYC-6033"
	// EventToldToRetire: another instance has told this one that it replaces a primary.
	EventToldToRetire = "CYC-6034"
	// EventClaimAdopted: a claim names another server than before as the primary of a database.
	EventClaimAdopted = "CYC-6035"
	// EventEvacuation: the evacuation of a failure domain has begun or ended.
	EventEvacuation = "CYC-6040"
	// EventEvacuationUnknown: an evacuation names a failure domain that is not in the settings.
	EventEvacuationUnknown = "CYC-6041"
	// EventEvacuationUnreadable: the spec of an evacuation can't be read; its name alone counts.
	EventEvacuationUnreadable = "CYC-6042"
	// EventNoSuccessor: no server outside the evacuated failure domains can replace a primary, or one can again.
	EventNoSuccessor = "CYC-6043"
	// EventEvacuationAcknowledged: this instance has acknowledged an evacuation, or failed to.
	EventEvacuationAcknowledged = "CYC-6044"
	// EventHomeUnknown: a route or an account names a region that no failure domain has.
	EventHomeUnknown = "CYC-6045"
	// EventMovingHome: the primary of a database is outside its home regions and is handed over.
	EventMovingHome = "CYC-6046"
	// EventMovedBack: a primary that was to hand over stays, because its successor did not receive all writes in time.
	EventMovedBack = "CYC-6047"
	// EventReplicasPaused: replicas are paused for a promotion that was not carried out.
	EventReplicasPaused = "CYC-6048"
	// EventClaimNotConfirmed: the claim of an accepted order could not be marked as answered.
	EventClaimNotConfirmed = "CYC-6049"
	// EventReplyUndecodable: a reply of a relay can't be decompressed, or a difference does not lead to the announced object.
	EventReplyUndecodable = "CYC-6050"
)

// event returns a log entry with the number of an event.
func event(log logrus.FieldLogger, number string) *logrus.Entry {
	return log.WithField("event", number)
}
