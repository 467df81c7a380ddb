package sessionstate

// Kind is the kind of a caller's request.
type Kind int

const (
	// Malformed is a request that could not be parsed.
	Malformed Kind = iota
	Begin
	BeginReadOnly
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	// Execute runs a prepared statement; the session state knows whether it is a read or a write.
	Execute
	Deallocate
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	names := [...]string{"malformed", "begin", "begin_read_only", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate"}
	if k < 0 || int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Statement is one request from a caller.
type Statement struct {
	ID   string // chosen by the caller, passed to the server
	Kind Kind
	Text string // as the caller sent it
	Name string // of a session value or a prepared statement
	// Value is the value of Set or the argument of Execute.
	Value  string
	Writes bool   // Prepare: the prepared statement is a write
	Shape  string // Prepare: the content of the prepared statement
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

// String returns the name of the state in logs.
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
