package engine

import (
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/statement"
)

// keepUnitSize is the largest message buffer of a unit that is kept for other sessions, in bytes.
const keepUnitSize = 64 << 10

// unit is what a caller sends between two ReadyForQuery: a simple query, or an extended pipeline
// up to Sync. It runs as one on one server.
type unit struct {
	simple bool
	sql    string // of a simple query
	raw    []byte // messages of a pipeline, as they are sent to a server
	ops    []op
	err    *outcome.Error // why the unit can't run; found while it was received
	done   int            // ops answered with success
	// redefines means that a statement is prepared or closed in the pipeline itself.
	redefines bool

	flush    bool // ends with Flush instead of Sync
	binds    bool
	executes int
	first    statement.Class // of the first statement executed
	allReads bool
	allLocal bool // settings only, which are answered without a server
	hasLocal bool
	control  bool // opens or ends a transaction
	ends     bool // may end a transaction with COMMIT
	certain  bool
	writable bool // asks for a read-write transaction
	taints   bool

	exchange exchange // with the present server; here to be reused
}

// op is one message of a pipeline.
type op struct {
	kind opKind
	end  int       // offset behind its message in unit.raw
	stmt *prepared // the statement concerned; nil when a statement or portal is closed
	name string    // of the statement or portal that it defines or closes
}

// opKind is the type byte of a message, or a pseudo type where that is ambiguous.
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

func (u *unit) giveBack() {
	if cap(u.raw) > keepUnitSize {
		return
	}
	clear(u.ops)
	u.exchange = exchange{steps: u.exchange.steps}
	units.Put(u)
}

// executed adds a statement that the unit executes.
func (u *unit) executed(c statement.Class) {
	if u.executes == 0 {
		u.first = c
	}
	u.executes++
	u.mention(c)
	switch c.Kind {
	case statement.Read, statement.Empty, statement.Setting, statement.Discard:
	default:
		u.allReads = false
	}
	opensOrEnds := c.Kind == statement.Begin || c.Kind == statement.Commit || c.Kind == statement.Rollback
	u.control = u.control || c.TransactionControl || opensOrEnds
	u.ends = u.ends || c.TransactionControl || c.Kind == statement.Commit
	u.certain = u.certain || c.CertainWrite
	u.writable = u.writable || c.Access == statement.ReadWrite
	u.taints = u.taints || c.TaintsConnection
}

// mention adds a statement that the unit prepares, describes or executes.
func (u *unit) mention(c statement.Class) {
	isLocal := c.Kind == statement.Setting || c.Kind == statement.Discard
	u.hasLocal = u.hasLocal || isLocal
	u.allLocal = u.allLocal && isLocal
}

// sole reports whether the unit executes exactly one statement of kind k.
func (u *unit) sole(k statement.Kind) bool {
	return u.executes == 1 && u.first.Kind == k && u.first.Count == 1
}

// needsServer reports whether a server has to answer any part of the unit.
func (u *unit) needsServer() bool {
	if u.simple {
		return u.first.Kind != statement.Empty
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
	u.binds = u.binds || o.kind == opBind || o.kind == opExecute
	u.redefines = u.redefines || o.kind == opParse || o.kind == opCloseStatement
	u.ops = append(u.ops, o)
	return nil
}

// message returns the bytes of op i.
func (u *unit) message(i int) rawMessage {
	start := 0
	if i > 0 {
		start = u.ops[i-1].end
	}
	return rawMessage(u.raw[start:u.ops[i].end])
}

// fail makes the unit answer with e and forgets its messages.
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
