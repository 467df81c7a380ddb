package sessionstate

// Kind is the class of a caller's request.
type Kind int

const (
	// Malformed is a request that has no known form.
	Malformed Kind = iota
	Begin
	BeginReadOnly
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	// Execute runs a prepared statement; whether it reads or writes is known from the session.
	Execute
	Deallocate
)

// String names the kind as logs show it.
func (k Kind) String() string {
	names := [...]string{"malformed", "begin", "begin_read_only", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate"}
	if k < 0 || int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Statement is one request of a caller.
type Statement struct {
	ID   string // chosen by the caller, passed to the server
	Kind Kind
	Text string // as the caller sent it
	Name string // of a session value or a prepared statement
	// Value is the value of Set, and what Execute passes to the prepared statement.
	Value  string
	Writes bool   // Prepare: the prepared statement writes
	Shape  string // Prepare: what is prepared
}

// PreparedStatement is the content of a prepared statement.
type PreparedStatement struct {
	Writes bool
	Shape  string
}

// TxState is the state of a session's transaction.
type TxState int

const (
	// Idle means that no transaction is open.
	Idle TxState = iota
	// InTransaction means that a transaction is open.
	InTransaction
	// Failed means that the open transaction has failed; ending it rolls back.
	Failed
)

// String names the state as logs show it.
func (s TxState) String() string {
	switch s {
	case Idle:
		return "idle"
	case InTransaction:
		return "in_transaction"
	case Failed:
		return "failed"
	}
	return "unknown"
}
