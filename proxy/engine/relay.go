package engine

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/statement"
)

// progressSteps is how many times at most the progress deadline is renewed within one statement timeout;
// setting it for each message would cost more than the message.
const progressSteps = 8

// result describes how a unit ended on one server.
type result struct {
	status    byte  // transaction status after the unit, as reported by the server
	err       error // the server connection failed before the end of the answer
	sent      bool  // a part of the unit may have reached the server
	callerErr error // the caller's connection failed
	code      string
	message   string // of the server's error
	committed bool   // the server answered COMMIT with COMMIT
	uncovered bool   // the answer does not cover the sample
	// staleStatement means that the error is about a prepared statement cached by an earlier unit.
	staleStatement bool
}

// needsConfirm reports whether the unit may have committed a write.
func (r *result) needsConfirm(u *unit, inTransaction bool) bool {
	if r.committed {
		return true
	}
	if inTransaction && u.executesOnly(statement.Commit) {
		return false // the server answered COMMIT with ROLLBACK
	}
	return r.code == "" && r.status == statusIdle
}

// relay sends the unit to the server and the answer to the caller, except for ReadyForQuery, which the
// session sends. The end of the answer is held back if the plan requires it.
func (s *session) relay(ctx context.Context, up *upstream, u *unit, p plan) result {
	x := &u.exchange
	*x = exchange{session: s, ctx: ctx, up: up, u: u, plan: p, steps: x.steps[:0]}
	x.wrapped = p.readOnlyTx && up.target.Primary
	if up.target.Verify != nil {
		s.out.withhold()
	}
	s.attach(up)
	defer s.detach()
	s.stage.enter(StageServer)
	x.transmit()
	x.receive()
	x.awaitSender()
	x.forgetStatements()
	return x.result
}

// exchange is the run of one unit on one server.
type exchange struct {
	*session
	result
	ctx        context.Context
	up         *upstream
	u          *unit
	plan       plan
	wrapped    bool
	steps      []step
	nextStep   int        // next step to be answered
	usesCached bool       // a statement prepared in an earlier unit is used
	suppressed bool       // the answer belongs to the BEGIN or COMMIT around a wrapped unit
	raw        rawMessage // the message being queued; a field to avoid an allocation
	sendDone   chan error
}

// receive reads the server's answer and relays it.
func (x *exchange) receive() {
	if x.err != nil {
		return
	}
	rounds := 1
	if x.wrapped {
		rounds = 3
	}
	for round := range rounds {
		x.suppressed = x.wrapped && round != 1
		for !x.receiveOne() {
			if x.err != nil || x.callerErr != nil {
				return
			}
		}
	}
}

// receiveOne reads one message and reports whether it is ReadyForQuery.
func (x *exchange) receiveOne() bool {
	if x.err = x.extendDeadline(); x.err != nil {
		return false
	}
	m, err := x.up.frontend.Receive()
	if err != nil {
		x.err = err
		return false
	}
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		x.status = m.TxStatus
		return true
	case *pgproto3.ParameterStatus:
		// A setting of the shared connection has changed.
		x.up.tainted.Store(true)
	case *pgproto3.NotificationResponse:
	case *pgproto3.ErrorResponse:
		x.handleServerError(m)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		x.err = errors.New("the server started a COPY")
	default:
		x.relayMessage(m)
	}
	return false
}

func (x *exchange) handleServerError(m *pgproto3.ErrorResponse) {
	if m.Severity == severityFatal || m.SeverityUnlocalized == severityFatal {
		x.err = errors.Newf("the server closed the connection: %s (%s)", m.Message, m.Code)
		return
	}
	if x.code == "" {
		x.code, x.message = m.Code, m.Message
		x.staleStatement = x.usesCached && isStaleStatement(m)
	}
	x.nextStep = len(x.steps)
	x.forward(m)
}

// isStaleStatement reports whether the error means that another user of the connection has closed the
// statement, or that its result type changed with its tables.
func isStaleStatement(m *pgproto3.ErrorResponse) bool {
	return m.Code == codeInvalidStatementName ||
		(m.Code == outcome.CodeFeatureNotSupported && strings.Contains(m.Message, "cached plan"))
}

// relayMessage relays a message that belongs to the current step.
func (x *exchange) relayMessage(m pgproto3.BackendMessage) {
	ends := endsStep(m)
	if !x.u.simple && !x.suppressed {
		hidden := x.nextStep < len(x.steps) && x.steps[x.nextStep].hidden
		if ends {
			x.completeStep()
		}
		if hidden {
			x.sendSynthetic()
			return
		}
	}
	if ends {
		x.noteCompletion(m)
	}
	x.forward(m)
	if !x.u.simple && !x.suppressed && ends {
		x.sendSynthetic()
	}
}

// endsStep reports whether m is the last message that answers a message of a pipeline.
func endsStep(m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.DataRow, *pgproto3.ParameterDescription, *pgproto3.NoticeResponse:
		return false
	}
	return true
}

// noteCompletion starts to hold the answer back at the first message that a caller could interpret as an
// acknowledgement.
func (x *exchange) noteCompletion(m pgproto3.BackendMessage) {
	switch m := m.(type) {
	case *pgproto3.CommandComplete:
		x.committed = x.committed || string(m.CommandTag) == "COMMIT"
	case *pgproto3.PortalSuspended, *pgproto3.EmptyQueryResponse:
	default:
		return
	}
	if x.plan.awaitConfirm {
		x.out.withhold()
	}
}

// forward adds a message to the answer and writes the answer once it is large.
func (x *exchange) forward(m pgproto3.BackendMessage) {
	if x.suppressed || x.callerErr != nil {
		return
	}
	if x.callerErr = x.out.send(m); x.callerErr != nil {
		return
	}
	if x.callerErr = x.out.flushPartial(); x.callerErr != nil {
		return
	}
	if x.out.withheldSize() > x.srv.cfg.MaxWithheldSize {
		x.releaseEarly()
	}
}

// releaseEarly limits the withheld part of a long answer: it verifies or confirms what was received so far.
func (x *exchange) releaseEarly() {
	if x.up.target.Verify == nil {
		x.confirmEarly()
		return
	}
	if x.err = x.verify(x.ctx, x.up); x.err != nil {
		x.uncovered = true
		return
	}
	x.stage.enter(StageServer)
	x.out.release()
	x.callerErr = x.out.flushPartial()
}

// confirmEarly confirms what was committed so far, so that the withheld part of the answer can be sent. The
// end of the answer is confirmed again.
func (x *exchange) confirmEarly() {
	if e := x.confirm(x.ctx, x.up.target); e != nil {
		x.err = e
		return
	}
	x.stage.enter(StageServer)
	x.out.release()
	x.callerErr = x.out.flushPartial()
}

// extendDeadline renews the progress deadline if a progress step has passed.
func (x *exchange) extendDeadline() error {
	timeout := x.login.Route.StatementTimeout.Std()
	now := time.Now()
	if now.Sub(x.up.deadlineSetAt) < timeout/progressSteps {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.killErr != nil {
		return x.killErr
	}
	x.up.deadlineSetAt = now
	return x.up.SetDeadline(now.Add(timeout))
}
