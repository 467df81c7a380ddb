package peer

// Numbers of the events that this package logs, in the field "event".
const (
	// EventListening: the peer listener accepts connections.
	EventListening = "CYC-5001"
	// EventConnectionError: a connection from a peer ended with an error.
	EventConnectionError = "CYC-5002"
	// EventListFailed: the instance list can't be read; the last list stays in use.
	EventListFailed = "CYC-5003"
	// EventPeerReachable: a peer answers again, or for the first time.
	EventPeerReachable = "CYC-5004"
	// EventPeerUnreachable: a peer did not answer a heartbeat on a fresh connection.
	EventPeerUnreachable = "CYC-5005"
	// EventPeersChanged: the set of peers in the instance list changed.
	EventPeersChanged = "CYC-5006"
	// EventPanic: a fault in the program ended the call of a peer.
	EventPanic = "CYC-5007"
)

// FieldEvent is the log field that holds the event number.
const FieldEvent = "event"
