package gateway

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"net"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
	"github.com/cyclamenstile/cyclamenstile/proxy/telemetry"
)

// Numbers of the events that this package logs, in the field "event".
const (
	// EventServed: a statement was answered with a server's result.
	EventServed = "CYC-7001"
	// EventRefused: a statement was answered with an error.
	EventRefused = "CYC-7002"
	// EventNoAnswer: a server did not answer a statement.
	EventNoAnswer = "CYC-7003"
	// EventUnreachable: no connection to a server could be opened.
	EventUnreachable = "CYC-7004"
	// EventSessionRefused: a caller's session was not opened.
	EventSessionRefused = "CYC-7005"
	// EventSessionBroken: a caller's connection failed.
	EventSessionBroken = "CYC-7006"
	// EventIdleTransaction: a transaction was rolled back because its caller rested for too long.
	EventIdleTransaction = "CYC-7007"
	// EventAcceptFailed: a caller's connection could not be accepted.
	EventAcceptFailed = "CYC-7008"
)

// fieldEvent carries the number of an event.
const fieldEvent = "event"

// Journal logs and counts what the gateway decides. Keys never appear in it.
type Journal struct {
	log   logrus.FieldLogger
	count counters
}

type counters struct {
	served, refused, unanswered, connects tally.Counter
	duration, roundTrip                   tally.Histogram
}

// NewJournal returns a journal that logs to log and counts in scope.
func NewJournal(log logrus.FieldLogger, scope tally.Scope) *Journal {
	scope = scope.SubScope("gateway")
	return &Journal{log: log, count: counters{
		served:     scope.Counter("served_total"),
		refused:    scope.Counter("refused_total"),
		unanswered: scope.Counter("unanswered_total"),
		connects:   scope.Counter("connects_total"),
		duration:   scope.Histogram("statement_seconds", telemetry.DurationBuckets()),
		roundTrip:  scope.Histogram("connect_seconds", telemetry.DurationBuckets()),
	}}
}

func (j *Journal) event(number string) *logrus.Entry {
	return j.log.WithField(fieldEvent, number)
}

func (j *Journal) statement(number string, n *session, stmt sessionstate.Statement) *logrus.Entry {
	return j.event(number).WithFields(logrus.Fields{
		"id": stmt.ID, "kind": stmt.Kind.String(), "route": n.route, "account": n.account, "tx": n.state.Tx.String(),
	})
}

func (j *Journal) served(n *session, stmt sessionstate.Statement, s discovery.Server, tries int, took time.Duration) {
	j.count.served.Inc(1)
	j.count.duration.RecordValue(took.Seconds())
	j.statement(EventServed, n, stmt).WithFields(logrus.Fields{
		"server": s.ID, "tries": tries, "took_ms": took.Milliseconds(),
	}).Debug("statement served")
}

func (j *Journal) refused(n *session, stmt sessionstate.Statement, e *outcome.Error, took time.Duration) {
	j.count.refused.Inc(1)
	j.statement(EventRefused, n, stmt).WithFields(logrus.Fields{
		"outcome": e.Kind.String(), "code": e.Code, "took_ms": took.Milliseconds(),
	}).Info(e.Message)
}

func (j *Journal) noAnswer(n *session, stmt sessionstate.Statement, s discovery.Server, sent bool, err error) {
	j.count.unanswered.Inc(1)
	j.statement(EventNoAnswer, n, stmt).WithFields(logrus.Fields{
		"server": s.ID, "sent": sent,
	}).WithError(err).Warn("server did not answer the statement")
}

func (j *Journal) unreachable(s discovery.Server, err error) {
	j.event(EventUnreachable).WithFields(logrus.Fields{
		"server": s.ID, "database": s.Database,
	}).WithError(err).Warn("no connection to the server")
}

func (j *Journal) sessionRefused(n *session, e *outcome.Error) {
	j.event(EventSessionRefused).WithFields(logrus.Fields{"route": n.route, "code": e.Code}).Info(e.Message)
}

func (j *Journal) sessionBroken(n *session, err error) {
	j.event(EventSessionBroken).WithField("route", n.route).WithError(err).Info("caller's connection ended")
}

func (j *Journal) idleTransaction(n *session) {
	j.event(EventIdleTransaction).WithField("route", n.route).Info("idle transaction rolled back")
}

func (j *Journal) acceptFailed(err error) {
	j.event(EventAcceptFailed).WithError(err).Warn("caller's connection was not accepted")
}

func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed)
}
