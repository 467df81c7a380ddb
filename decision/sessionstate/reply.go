package sessionstate

import "github.com/cyclamenstile/cyclamenstile/decision/position"

// ReplyKind is the class of a server's message.
type ReplyKind int

const (
	ReplyRow ReplyKind = iota + 1
	ReplyComplete
	ReplyError
	// ReplyReady ends the answer to a request.
	ReplyReady
)

// Reply is one message of a server.
type Reply struct {
	Kind     ReplyKind
	Row      []byte // valid until the next call of Receive
	Receipt  string
	Code     string // of package outcome
	Text     string // of an error
	State    TxState
	Position position.Position // of the server's log
}
