package engine

import (
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/statement"
)

// maxPooledUnitSize is the largest message buffer of a unit that is kept for other units, in bytes.
const maxPooledUnitSize = 64 << 10

// unit is what a caller sends between two ReadyForQuery: a simple query, or an extended pipeline up to Sync.
// It runs as a whole on one server.
type unit struct {
	simple       bool
	sql          string // of a simple query
	raw          []byte // messages of a pipeline, encoded for the server
	ops          []op
	err          *outcome.Error // why the unit can't run; set while it is received
	completedOps int            // leading ops that were answered with success
	// redefinesStatements means that the pipeline itself prepares or closes a statement.
	redefinesStatements bool

	endsWithFlush         bool // ends with Flush instead of Sync
	hasBind               bool
	executeCount          int
	firstClass            statement.Class // of the first statement executed
	allReads              bool
	allLocal              bool // only settings, which are answered without a server
	hasLocal              bool
	hasTransactionControl bool // opens or ends a transaction
	mayCommit             bool // may end a transaction with COMMIT
	certainWrite          bool
	wantsReadWrite        bool // asks for a read-write transaction
	taintsConnection      bool

	exchange exchange // with the current server; a field so that it is reused
}

// op is one message of a pipeline.
type op struct {
	kind opKind
	end  int       // end offset of the message in unit.raw
	stmt *prepared // the statement concerned; nil when a statement or portal is closed
	name string    // of the statement or portal that the message defines or closes
}

// opKind is the type byte of a message, in lower case for the portal variant of Describe and Close.
type opKind byte

const (
	opParse             opKind = 'P'
	opBind              opKind = 'B'
	opExecute           opKind = 'E'
	opDescribeStatement opKind = 'D'
	opDescribePortal    opKind = 'd'
	opCloseStatement    opKind = 'C'
	opClosePortal       opKind = 'c'
)

var units = sync.Pool{New: func() any { return &unit{} }}

func newUnit() *unit {
	u := units.Get().(*unit)
	steps := u.exchange.steps[:0]
	*u = unit{raw: u.raw[:0], ops: u.ops[:0], allReads: true, allLocal: true}
	u.exchange.steps = steps
	return u
}

func (u *unit) recycle() {
	if cap(u.raw) > maxPooledUnitSize {
		return
	}
	clear(u.ops)
	u.exchange = exchange{steps: u.exchange.steps}
	units.Put(u)
}

// addExecution adds a statement that the unit executes.
func (u *unit) addExecution(c statement.Class) {
	if u.executeCount == 0 {
		u.firstClass = c
	}
	u.executeCount++
	u.noteClass(c)
	switch c.Kind {
	case statement.Read, statement.Empty, statement.Setting, statement.Discard:
	default:
		u.allReads = false
	}
	opensOrEnds := c.Kind == statement.Begin || c.Kind == statement.Commit || c.Kind == statement.Rollback
	u.hasTransactionControl = u.hasTransactionControl || c.TransactionControl || opensOrEnds
	u.mayCommit = u.mayCommit || c.TransactionControl || c.Kind == statement.Commit
	u.certainWrite = u.certainWrite || c.CertainWrite
	u.wantsReadWrite = u.wantsReadWrite || c.Access == statement.ReadWrite
	u.taintsConnection = u.taintsConnection || c.TaintsConnection
}

// noteClass records the class of a statement that the unit prepares, describes or executes.
func (u *unit) noteClass(c statement.Class) {
	isLocal := c.Kind == statement.Setting || c.Kind == statement.Discard
	u.hasLocal = u.hasLocal || isLocal
	u.allLocal = u.allLocal && isLocal
}

// executesOnly reports whether the unit executes exactly one statement of kind k.
func (u *unit) executesOnly(k statement.Kind) bool {
	return u.executeCount == 1 && u.firstClass.Kind == k && u.firstClass.Count == 1
}

// needsServer reports whether any part of the unit needs the answer of a server.
func (u *unit) needsServer() bool {
	if u.simple {
		return u.firstClass.Kind != statement.Empty
	}
	for _, o := range u.ops {
		if o.kind != opCloseStatement {
			return true
		}
	}
	return false
}

// add appends a message to the pipeline.
func (u *unit) add(o op, m pgproto3.FrontendMessage) error {
	raw, err := m.Encode(u.raw)
	if err != nil {
		return err
	}
	u.raw = raw
	o.end = len(raw)
	u.hasBind = u.hasBind || o.kind == opBind || o.kind == opExecute
	u.redefinesStatements = u.redefinesStatements || o.kind == opParse || o.kind == opCloseStatement
	u.ops = append(u.ops, o)
	return nil
}

// message returns the encoded message of op i.
func (u *unit) message(i int) rawMessage {
	start := 0
	if i > 0 {
		start = u.ops[i-1].end
	}
	return rawMessage(u.raw[start:u.ops[i].end])
}

// fail discards the messages of the unit, which is then answered with its first error.
func (u *unit) fail(e *outcome.Error) {
	if u.err == nil {
		u.err = e
	}
	u.raw = u.raw[:0]
	u.ops = u.ops[:0]
}

// rawMessage is an encoded message.
type rawMessage []byte

// Frontend marks the message as one that a client sends.
func (rawMessage) Frontend() {}

// Decode is not used.
func (rawMessage) Decode([]byte) error { return nil }

// Encode appends the message.
func (m rawMessage) Encode(dst []byte) ([]byte, error) {
	return append(dst, m...), nil
}
