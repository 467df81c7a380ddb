package sessionstate

import "github.com/cyclamenstile/cyclamenstile/decision/position"

// ReplyKind is the kind of a message from a server.
type ReplyKind int

const (
	ReplyRow ReplyKind = iota + 1
	ReplyComplete
	ReplyError
	// ReplyReady is the last message of the answer to a request.
	ReplyReady
)

// Reply is one message from a server.
type Reply struct {
	Kind     ReplyKind
	Row      []byte // valid until the next call of Receive
	Receipt  string
	Code     string // SQLSTATE code, see package outcome
	Text     string // ReplyError: the error message
	State    TxState
	Position position.Position // position of the server's log
}
