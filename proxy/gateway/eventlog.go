package gateway

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/home"
	"github.com/cyclamenstile/cyclamenstile/decision/logbudget"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
	"github.com/cyclamenstile/cyclamenstile/proxy/contain"
	"github.com/cyclamenstile/cyclamenstile/proxy/telemetry"
)

// Limits of log lines per event. Served statements have lower limits than refusals and failures, so that they
// are only sampled under load. A line costs some ten microseconds of CPU time.
const (
	linesPerSecond       = 20
	lineBurst            = 60
	servedLinesPerSecond = 5
	servedLineBurst      = 20
)

// fieldEvent is the log field with the event number.
const fieldEvent = "event"

// EventLog logs and counts the gateway's events, with a limit of log lines per event. Keys are never logged. It is
// safe for concurrent use.
type EventLog struct {
	log     logrus.FieldLogger
	now     func() time.Duration
	metrics metrics

	mu          sync.Mutex
	lineBudgets map[string]*logbudget.Budget // by event number
}

type metrics struct {
	scope                                                                       tally.Scope
	served, refused, refusedForHome, unanswered, connects, linesDropped, panics tally.Counter
	evacuationRefused, evacuationRolledBack, answersWithheld                    tally.Counter
	servedDuration, connectDuration                                             tally.Histogram
}

// NewEventLog returns an EventLog that logs to log and counts in scope.
func NewEventLog(log logrus.FieldLogger, scope tally.Scope, now func() time.Duration) *EventLog {
	scope = scope.SubScope("gateway")
	return &EventLog{log: log, now: now, lineBudgets: map[string]*logbudget.Budget{}, metrics: metrics{
		scope:                scope,
		served:               scope.Counter("served_total"),
		refused:              scope.Counter("refused_total"),
		refusedForHome:       scope.Counter("refused_for_home_total"),
		unanswered:           scope.Counter("unanswered_total"),
		connects:             scope.Counter("connects_total"),
		panics:               scope.Counter("panics_contained_total"),
		linesDropped:         scope.Counter("log_lines_left_out_total"),
		evacuationRefused:    scope.Counter("evacuation_refused_total"),
		evacuationRolledBack: scope.Counter("evacuation_rolled_back_total"),
		answersWithheld:      scope.Counter("answers_withheld_total"),
		servedDuration:       scope.Histogram("served_seconds", telemetry.DurationBuckets()),
		connectDuration:      scope.Histogram("connect_seconds", telemetry.DurationBuckets()),
	}}
}

// writeLine logs an event within its line limit. Most lines are dropped under load, so the fields are built only
// for lines that are written.
func (l *EventLog) writeLine(number string, write func(*logrus.Entry)) {
	ok, dropped := l.allow(number)
	if !ok {
		l.metrics.linesDropped.Inc(1)
		return
	}
	if dropped > 0 {
		l.log.WithFields(logrus.Fields{fieldEvent: EventLinesDropped, "of": number, "lines": dropped}).
			Info("log lines of an event were dropped")
	}
	write(l.log.WithField(fieldEvent, number))
}

func (l *EventLog) allow(number string) (ok bool, dropped uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.lineBudgets[number]
	if b == nil {
		b = &logbudget.Budget{PerSecond: linesPerSecond, Burst: lineBurst}
		if number == EventServed {
			b = &logbudget.Budget{PerSecond: servedLinesPerSecond, Burst: servedLineBurst}
		}
		l.lineBudgets[number] = b
	}
	return b.Allow(l.now())
}

// writeStatementLine logs an event of a statement with the version of the configuration in force.
func (l *EventLog) writeStatementLine(number string, sess *session, stmt sessionstate.Statement, write func(*logrus.Entry)) {
	l.writeLine(number, func(e *logrus.Entry) {
		write(e.WithFields(logrus.Fields{
			"id": stmt.ID, "kind": stmt.Kind.String(), "route": sess.route, "account": sess.account, "tx": sess.state.Tx.String(),
			"config": sess.configVersion(),
		}))
	})
}

func (l *EventLog) served(sess *session, stmt sessionstate.Statement, s discovery.Server, tries int, took time.Duration) {
	l.metrics.served.Inc(1)
	l.metrics.servedDuration.RecordValue(took.Seconds())
	l.writeStatementLine(EventServed, sess, stmt, func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{
			"server": s.ID, "tries": tries, "took_ms": took.Milliseconds(), "floor": sess.floor.String(),
		}).Info("statement served")
	})
}

func (l *EventLog) refused(sess *session, stmt sessionstate.Statement, refusal *outcome.Error, took time.Duration) {
	l.metrics.refused.Inc(1)
	l.writeStatementLine(EventRefused, sess, stmt, func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{
			"outcome": refusal.Kind.String(), "code": refusal.Code, "took_ms": took.Milliseconds(),
			"retry_after_ms": refusal.RetryAfter.Milliseconds(),
		}).Info(refusal.Message)
	})
}

// answerWithheld logs and counts an answer that is not acknowledged, because its server may have been replaced as the leader.
func (l *EventLog) answerWithheld(sess *session, stmt sessionstate.Statement, s discovery.Server, why placement.Objection, took time.Duration) {
	l.metrics.answersWithheld.Inc(1)
	l.writeStatementLine(EventAnswerWithheld, sess, stmt, func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{
			"server": s.ID, "database": s.Database, "reason": string(why), "took_ms": took.Milliseconds(),
		}).Warn("an answer is not acknowledged, since its server may have been replaced as the primary")
	})
}

// refusedForHome logs and counts that no server in a statement's regions can run it.
func (l *EventLog) refusedForHome(sess *session, t *tryState, verdict home.Verdict) {
	l.metrics.refusedForHome.Inc(1)
	l.writeStatementLine(EventNotAtHome, sess, t.stmt, func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{
			"database": t.database.Name, "regions": t.grant.Homes.Names(), "reason": verdict.String(),
		}).Info("no server in the statement's regions can run it")
	})
}

func (l *EventLog) transactionLeftHome(sess *session, stmt sessionstate.Statement, s discovery.Server) {
	l.metrics.refusedForHome.Inc(1)
	l.writeStatementLine(EventTransactionLeftHome, sess, stmt, func(e *logrus.Entry) {
		e.WithField("server", s.ID).Info("transaction rolled back, since the configuration does not allow its region any more")
	})
}

// transactionUnauthorized logs that a transaction of an idle session was rolled back because its key doesn't entitle it to go on.
func (l *EventLog) transactionUnauthorized(sess *session, why *outcome.Error) {
	l.writeStatementLine(EventTransactionUnauthorized, sess, sessionstate.Statement{}, func(e *logrus.Entry) {
		e.WithField("server", sess.tx.server.ID).WithField("reason", why.Message).
			Info("transaction rolled back, since its caller may not go on with it")
	})
}

// retried logs why a server did not run a statement, and the state by which it was chosen.
func (l *EventLog) retried(sess *session, t *tryState, s discovery.Server, code string) {
	l.writeStatementLine(EventRetried, sess, t.stmt, func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{
			"server": s.ID, "code": code, "tries": t.number, "as_leader": t.requiresLeader(), "floor": t.floor.String(),
			"entry_primary": s.Primary, "entry_revision": s.Revision,
		}).Info("server refused the statement; trying again")
	})
}

// panicked logs an error that is a contained panic, and ignores others.
func (l *EventLog) panicked(err error) {
	var p *contain.PanicError
	if !errors.As(err, &p) {
		return
	}
	l.metrics.panics.Inc(1)
	l.writeLine(EventPanic, func(e *logrus.Entry) {
		e.WithError(err).WithField("stack", p.Stack).Error("a fault in the program was contained")
	})
}

func (l *EventLog) noAnswer(sess *session, stmt sessionstate.Statement, s discovery.Server, sent bool, err error) {
	l.metrics.unanswered.Inc(1)
	l.panicked(err)
	l.writeStatementLine(EventNoAnswer, sess, stmt, func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{"server": s.ID, "sent": sent, "lender": lenderOf(err)}).WithError(err).
			Warn("statement got no answer")
	})
}

// lenderOf returns the instance that did not answer; empty if the server did not answer.
func lenderOf(err error) string {
	var noAnswer *noAnswerError
	if errors.As(err, &noAnswer) {
		return noAnswer.lender
	}
	return ""
}

// loanFailed logs why this instance, as a lender, could not answer a statement of another instance.
func (l *EventLog) loanFailed(w *workItem, d destination, err error) {
	l.writeLine(EventLoanFailed, func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{
			"id": w.stmt.ID, "account": d.account, "server": d.server.ID, "left_ms": w.timeLeft.Milliseconds(),
		}).WithError(err).Info("could not answer a statement of another instance")
	})
}

func (l *EventLog) unreachable(s discovery.Server, err error) {
	l.writeLine(EventUnreachable, func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{"server": s.ID, "database": s.Database}).WithError(err).Warn("could not connect to the server")
	})
}

func (l *EventLog) sessionRefused(sess *session, refusal *outcome.Error) {
	l.writeLine(EventSessionRefused, func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{"route": sess.route, "code": refusal.Code, "config": sess.configVersion()}).Info(refusal.Message)
	})
}

func (l *EventLog) sessionBroken(sess *session, err error) {
	l.writeLine(EventSessionBroken, func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{"route": sess.route, "account": sess.account, "tx": sess.state.Tx.String()}).WithError(err).
			Info("caller's connection ended")
	})
}

func (l *EventLog) idleTransaction(sess *session) {
	l.writeLine(EventIdleTransaction, func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{"route": sess.route, "account": sess.account, "limit_ms": sess.tx.idleTimeout.Milliseconds()}).
			Info("idle transaction rolled back")
	})
}

func (l *EventLog) acceptFailed(err error) {
	l.writeLine(EventAcceptFailed, func(e *logrus.Entry) { e.WithError(err).Warn("could not accept a caller's connection") })
}

// coldScope is the scope of the metrics of one cold server.
func (l *EventLog) coldScope(s discovery.Server) tally.Scope {
	return l.metrics.scope.Tagged(map[string]string{"server": s.ID})
}

func (l *EventLog) coldSent(s discovery.Server) {
	l.coldScope(s).Counter("cold_statements_total").Inc(1)
}

func (l *EventLog) coldAllowance(s discovery.Server, allowance float64) {
	l.coldScope(s).Gauge("cold_allowance_per_second").Update(allowance)
}

func (l *EventLog) coldRefused(d destination, after time.Duration) {
	l.coldScope(d.server).Counter("cold_refused_total").Inc(1)
	l.writeLine(EventColdRefused, func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{"server": d.server.ID, "account": d.account, "retry_after_ms": after.Milliseconds()}).
			Info("statement would exceed the allowance of a cold server")
	})
}

func (l *EventLog) coldBegan(s discovery.Server, rate float64, remaining time.Duration) {
	l.writeLine(EventColdBegan, func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{"server": s.ID, "database": s.Database, "per_second": rate, "remaining_ms": remaining.Milliseconds()}).
			Info("server has just started and gets few statements")
	})
}

func (l *EventLog) coldEnded(s discovery.Server) {
	l.coldAllowance(s, 0)
	l.writeLine(EventColdEnded, func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{"server": s.ID, "database": s.Database}).Info("server is warm")
	})
}

func (l *EventLog) coldLender(s discovery.Server, allowance float64) {
	l.writeLine(EventColdLender, func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{"server": s.ID, "allowance_per_second": allowance}).Info("this instance is the lender of a cold server")
	})
}

func (l *EventLog) coldLenderLost(d destination, lender string, err error) {
	l.writeLine(EventColdLenderLost, func(e *logrus.Entry) {
		e.WithFields(logrus.Fields{"server": d.server.ID, "lender": lender}).WithError(err).
			Warn("lender of a cold server can't be used; the statement is not sent there")
	})
}

func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed)
}
