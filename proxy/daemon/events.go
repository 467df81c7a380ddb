package daemon

import "github.com/sirupsen/logrus"

// Numbers of the events that this package logs, in the field "event".
const (
	// EventStarted: the instance serves callers.
	EventStarted = "CYC-1001"
	// EventStopping: the instance stops accepting callers and drains.
	EventStopping = "CYC-1002"
	// EventStopped: the instance stopped.
	EventStopped = "CYC-1003"
	// EventListenerEnded: a listener ended although the instance does not stop.
	EventListenerEnded = "CYC-1004"
	// EventDatabaseSkipped: a database of the manifest can't be served.
	EventDatabaseSkipped = "CYC-1005"
	// EventFetchFailed: fetching or adopting a newer manifest from a peer failed.
	EventFetchFailed = "CYC-1006"
	// EventHandBackFailed: quota could not be handed back during a stop.
	EventHandBackFailed = "CYC-1007"
	// EventSilentConnection: a connection to a server went silent and is closed.
	EventSilentConnection = "CYC-1008"
	// EventStatusNotDeleted: the status object could not be deleted during a stop.
	EventStatusNotDeleted = "CYC-1009"
	// EventStatementsStalled: statements have waited in one stage for more than stallAge.
	EventStatementsStalled = "CYC-1010"
	// EventProcessStalled: the process did not run for a while.
	EventProcessStalled = "CYC-1011"
	// EventPanic: a fault in the program ended one session.
	EventPanic = "CYC-1012"
)

func event(log logrus.FieldLogger, number string) *logrus.Entry {
	return log.WithField("event", number)
}
