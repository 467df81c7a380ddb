package statement

// Kind is what a statement does, as far as its placement matters.
type Kind int

const (
	// Empty is a text without a statement.
	Empty Kind = iota
	// Read may run on a replica and may run twice.
	Read
	// Write has to run on the primary and is acknowledged once confirmed.
	Write
	// Begin opens a transaction.
	Begin
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and drops its writes.
	Rollback
	// InTransaction is control within a transaction: savepoints, SET TRANSACTION, SET LOCAL and
	// SET CONSTRAINTS.
	InTransaction
	// Setting is a session-level SET or RESET of one parameter.
	Setting
	// Discard drops prepared statements: DISCARD, DEALLOCATE; also UNLISTEN, which has nothing
	// to drop because LISTEN is refused.
	Discard
	// Refused can't run on a shared connection.
	Refused
)

// String names the kind as logs and metrics show it.
func (k Kind) String() string {
	names := [...]string{"empty", "read", "write", "begin", "commit", "rollback",
		"in_transaction", "setting", "discard", "refused"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Access is the access mode that BEGIN or SET TRANSACTION names.
type Access int

const (
	// AccessDefault means that no mode was named.
	AccessDefault Access = iota
	// ReadOnly is READ ONLY.
	ReadOnly
	// ReadWrite is READ WRITE.
	ReadWrite
)

// Class describes the SQL text of one request.
type Class struct {
	// Kind is the kind of the statement; for a text of several statements it is Refused if one
	// of them is, Read if all are reads, and Write otherwise.
	Kind  Kind
	Count int // statements in the text
	// TransactionControl is true when one of several statements opens or ends a transaction.
	TransactionControl bool
	// CertainWrite is true when a Write can't be a read: its first word says so.
	CertainWrite bool
	// TaintsConnection is true when the statement runs code that may change the connection's settings, so
	// that the connection is not reused.
	TaintsConnection bool
	// Access is the mode named by Begin or SET TRANSACTION; for several statements it is ReadWrite
	// if one of them names that, else AccessDefault.
	Access Access
	// RollbackTo is true for ROLLBACK TO SAVEPOINT.
	RollbackTo bool
	// End is the offset behind the last token of the first statement, without its semicolon.
	End int
	// Name is the parameter of Setting and of a Read that is SHOW, or the first word of Discard. Value
	// belongs to Setting and Discard. A reset has an empty Value and Reset set.
	Name, Value string
	Reset       bool
	// Message and Remedy belong to Refused.
	Message, Remedy string
}
