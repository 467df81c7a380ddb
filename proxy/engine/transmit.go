package engine

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// backgroundSendSize is the size from which a pipeline is sent by a goroutine of its own, in bytes. A
// server that waits for its answers to be read doesn't read further messages, so sending a larger
// pipeline before reading could block both sides for ever.
const backgroundSendSize = 32 << 10

// step is an answer expected from the server, or one that the proxy gives itself.
type step struct {
	op        int  // answered op, -1 for none
	hidden    bool // the caller did not ask for it
	synthetic bool // answered by the proxy
}

// transmit sends the unit.
func (x *exchange) transmit() {
	x.up.deadlineSetAt = time.Time{}
	if x.err = x.extendDeadline(); x.err != nil {
		return
	}
	f := x.up.frontend
	if x.wrapped {
		f.SendQuery(&pgproto3.Query{String: "BEGIN READ ONLY"})
	}
	if x.u.simple {
		f.SendQuery(&pgproto3.Query{String: x.u.sql})
	} else {
		x.sendPipeline()
	}
	if x.wrapped {
		f.SendQuery(&pgproto3.Query{String: "COMMIT"})
	}
	x.flush()
	x.sendSynthetic()
}

func (x *exchange) flush() {
	x.sent = true
	if len(x.u.raw) > backgroundSendSize {
		x.sendDone = make(chan error, 1)
		go func() { x.sendDone <- x.up.frontend.Flush() }()
		return
	}
	x.err = x.up.frontend.Flush()
	x.sent = x.err == nil || !isSafeToRetry(x.err)
}

// awaitSender waits for the sending goroutine, which a failed exchange leaves no time.
func (x *exchange) awaitSender() {
	if x.sendDone == nil {
		return
	}
	if x.err != nil || x.callerErr != nil {
		_ = x.up.SetDeadline(pastDeadline)
	}
	if err := <-x.sendDone; err != nil && x.err == nil && x.callerErr == nil {
		x.err = err
	}
}

// isSafeToRetry reports whether a failed write is known to have written nothing.
func isSafeToRetry(err error) bool {
	var safe interface{ SafeToRetry() bool }
	return errors.As(err, &safe) && safe.SafeToRetry()
}

// sendPipeline queues the pipeline and the Sync. Statements that the connection doesn't have yet
// are prepared on the way.
func (x *exchange) sendPipeline() {
	var unnamed *prepared // content of the connection's unnamed statement
	for i, o := range x.u.ops {
		switch o.kind {
		case opParse:
			if o.stmt.name == "" {
				unnamed = o.stmt
				x.queue(i)
				continue
			}
			x.prepare(o.stmt)
			x.steps = append(x.steps, step{op: i, synthetic: true})
		case opCloseStatement:
			x.steps = append(x.steps, step{op: i, synthetic: true})
		case opBind, opDescribeStatement:
			if o.stmt.name != "" {
				x.prepare(o.stmt)
			} else if unnamed != o.stmt {
				unnamed = o.stmt
				x.queueHidden(o.stmt.parse())
			}
			x.queue(i)
		default:
			x.queue(i)
		}
	}
	x.up.frontend.SendSync(&pgproto3.Sync{})
}

// prepare makes sure that the connection has the statement. It is closed first, because another
// user of the connection may have left it there, and closing an unknown name is no error.
func (x *exchange) prepare(p *prepared) {
	if x.up.stmts.has(p.name) {
		x.usesCached = true
		return
	}
	if evicted := x.up.stmts.add(p.name); evicted != "" {
		x.queueHidden(&pgproto3.Close{ObjectType: 'S', Name: evicted})
	}
	x.queueHidden(&pgproto3.Close{ObjectType: 'S', Name: p.name})
	x.queueHidden(p.parse())
}

func (x *exchange) queue(i int) {
	x.raw = x.u.message(i)
	x.up.frontend.Send(&x.raw)
	x.steps = append(x.steps, step{op: i})
}

func (x *exchange) queueHidden(m pgproto3.FrontendMessage) {
	x.up.frontend.Send(m)
	x.steps = append(x.steps, step{op: -1, hidden: true})
}

// completeStep moves to the next step.
func (x *exchange) completeStep() {
	if x.nextStep >= len(x.steps) {
		x.err = errors.New("the server sent an answer that was not asked for")
		return
	}
	if op := x.steps[x.nextStep].op; op >= 0 {
		x.u.completedOps = op + 1
	}
	x.nextStep++
}

// sendSynthetic gives the proxy's own answers that are due.
func (x *exchange) sendSynthetic() {
	for x.nextStep < len(x.steps) && x.steps[x.nextStep].synthetic {
		i := x.steps[x.nextStep].op
		x.completeStep()
		if x.u.ops[i].kind == opParse {
			x.forward(&pgproto3.ParseComplete{})
			continue
		}
		x.forward(&pgproto3.CloseComplete{})
	}
}

// forgetStatements drops what is known of the connection's statements after an error, because it
// is not known which of them were prepared.
func (x *exchange) forgetStatements() {
	if x.code != "" || x.err != nil {
		x.up.stmts.clear()
	}
}
