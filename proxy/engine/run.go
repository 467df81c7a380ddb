package engine

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/statement"
)

// run executes a unit and sends the whole answer. An error ends the session.
func (s *session) run(u *unit) error {
	if _, err := s.runUnit(u); err != nil {
		return err
	}
	return s.sendReady()
}

// runUnit executes a unit and sends the answer without ReadyForQuery. failed means that the answer is an
// error.
func (s *session) runUnit(u *unit) (failed bool, err error) {
	defer u.recycle()
	s.out.begin()
	report := Statement{Account: s.login.Account.Name, Route: s.login.Route.Name, Read: u.allReads}
	ctx, endUnit := s.beginUnit()
	defer endUnit()
	defer s.stage.enter(StageNone)
	e, err := s.execute(ctx, u, &report)
	if err != nil {
		report.Outcome = OutcomeCallerGone
		s.srv.cfg.Observer.StatementDone(report)
		return true, err
	}
	if e != nil {
		report.Outcome = Outcome(e.Kind.String())
		report.Code = e.Code
		err = s.answerError(u, e)
	}
	s.applyPrepared(u)
	s.srv.cfg.Observer.StatementDone(report)
	return report.Code != "", err
}

// beginUnit returns the context of the unit's waits. A cancel request, a withdrawn key or a forced shutdown
// cancels it.
func (s *session) beginUnit() (context.Context, func()) {
	ctx, stop := context.WithCancelCause(s.srv.ctx)
	s.mu.Lock()
	s.cancelWait = stop
	s.transmitted = false
	if s.killErr != nil {
		stop(s.killErr)
	}
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancelWait = nil
		s.mu.Unlock()
		stop(nil)
	}
}

// execute returns the error to send to the caller, or the error of the caller's connection.
func (s *session) execute(ctx context.Context, u *unit, report *Statement) (*outcome.Error, error) {
	if u.err != nil {
		return u.err, nil
	}
	if err := s.srv.cfg.Directory.Check(s.login); err != nil {
		return asOutcome(err), nil
	}
	if s.login.Route.ReadOnly && u.wantsReadWrite {
		return errReadOnly("a read-write transaction"), nil
	}
	if u.hasLocal && !u.allLocal {
		return errMixedSettings(), nil
	}
	if s.answersLocally(u) {
		report.Outcome = OutcomeOK
		return s.answerLocal(u), nil
	}
	started := time.Now()
	if e := s.admit(ctx, u); e != nil {
		return e, nil
	}
	if s.tx.active() {
		return s.runInTransaction(ctx, u, report)
	}
	return s.runAutocommit(ctx, u, report, started)
}

// admit charges the unit to the account's quota. The end of a transaction is always admitted, since it
// releases a connection. A request that only prepares or describes is not charged: drivers prepare again
// after a refusal, and a statement charged twice would need two tokens. A caller of an open route belongs to
// no client account, so it has no rate; the fair queue limits its share of a server.
func (s *session) admit(ctx context.Context, u *unit) *outcome.Error {
	if u.executeCount == 0 || s.login.Account.Name == "" {
		return nil
	}
	if s.tx.active() && (u.executesOnly(statement.Commit) || u.executesOnly(statement.Rollback)) {
		return nil
	}
	s.stage.enter(StageQuota)
	if err := s.srv.cfg.Quota.Admit(ctx, s.login.Account.Name); err != nil {
		return s.waitError(ctx, err)
	}
	return nil
}

// waitError returns the outcome of a wait that failed before anything was sent. For a cancelled wait it is
// the cause of the cancellation.
func (s *session) waitError(ctx context.Context, err error) *outcome.Error {
	if cause := outcome.As(context.Cause(ctx)); cause != nil {
		return cause
	}
	return asOutcome(err)
}

// answerError replaces the unwritten part of the answer by e.
func (s *session) answerError(u *unit, e *outcome.Error) error {
	s.out.discardUnwritten()
	if s.tx.up != nil {
		s.tx.failed = true
	}
	if u.err == errReported {
		return nil
	}
	return s.out.send(errorResponse(severityError, e))
}

// sendReady ends the answer with ReadyForQuery and writes it.
func (s *session) sendReady() error {
	if err := s.out.send(&pgproto3.ReadyForQuery{TxStatus: s.readyStatus()}); err != nil {
		return err
	}
	return s.out.flush()
}

func errMixedSettings() *outcome.Error {
	return invalid(codeFeatureNotSupported,
		"a session setting can't be combined with other statements in one request",
		"send it as a request of its own")
}
