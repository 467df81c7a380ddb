package statement

// Kind is the kind of a statement, as needed to decide where it may run.
type Kind int

const (
	// Empty is SQL text without a statement.
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
	// InTransaction is a statement that affects only the open transaction: savepoints, SET
	// TRANSACTION, SET LOCAL and SET CONSTRAINTS.
	InTransaction
	// Setting is a session-level SET or RESET of one parameter.
	Setting
	// Discard drops prepared statements: DISCARD, DEALLOCATE. It includes UNLISTEN, which has no
	// effect because LISTEN is refused.
	Discard
	// Refused is a statement that can't run on a shared connection.
	Refused
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	names := [...]string{"empty", "read", "write", "begin", "commit", "rollback",
		"in_transaction", "setting", "discard", "refused"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Access is the access mode specified by BEGIN or SET TRANSACTION.
type Access int

const (
	// AccessDefault means that the statement specifies no mode.
	AccessDefault Access = iota
	// ReadOnly is READ ONLY.
	ReadOnly
	// ReadWrite is READ WRITE.
	ReadWrite
)

// Class describes the SQL text of one request.
type Class struct {
	// Kind is the kind of the statement. For several statements it is Refused if one of them is
	// refused, Read if all are reads, and Write otherwise.
	Kind  Kind
	Count int // number of statements in the text
	// TransactionControl is true if the text has several statements and one of them begins or ends
	// a transaction.
	TransactionControl bool
	// CertainWrite is true if the first word of a Write proves that it is not a read.
	CertainWrite bool
	// TaintsConnection is true if the statement runs code that may change the connection's settings,
	// so that the connection must not be reused.
	TaintsConnection bool
	// Access is the mode specified by Begin or SET TRANSACTION. For several statements it is
	// ReadWrite if one of them specifies that, and AccessDefault otherwise.
	Access Access
	// RollbackTo is true for ROLLBACK TO SAVEPOINT.
	RollbackTo bool
	// End is the offset after the last token of the first statement, excluding its semicolon.
	End int
	// Name is the parameter of a Setting or of a SHOW, which is a Read, or the first word of a
	// Discard. Value is set for Setting and Discard. A reset has an empty Value and Reset set.
	Name, Value string
	Reset       bool
	// Message and Remedy are set for Refused.
	Message, Remedy string
}
