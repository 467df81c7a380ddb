package directory

import "github.com/sirupsen/logrus"

// Numbers of the log events of this package, in the field "event".
const (
	EventAdopted           = "CYC-3001" // a manifest came into force
	EventWithdrawn         = "CYC-3002" // an adoption withdrew keys, accounts, routes or rights
	EventRejected          = "CYC-3003" // a manifest was rejected; the one in force stays
	EventDeleted           = "CYC-3004" // the manifest object was deleted; the one in force stays
	EventStoreUnavailable  = "CYC-3005" // the store does not answer; retried with backoff
	EventStoreRecovered    = "CYC-3006" // the store answers again
	EventStatusWriteFailed = "CYC-3007" // the status object could not be written; retried
)

func event(log logrus.FieldLogger, number string) logrus.FieldLogger {
	return log.WithField("event", number)
}
