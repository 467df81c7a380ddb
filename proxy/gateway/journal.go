package gateway

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/logbudget"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
	"github.com/cyclamenstile/cyclamenstile/proxy/telemetry"
)

// Lines of one event: refusals and failures go before successes, which are only sampled under load. A line costs some
// ten microseconds of processor time.
const (
	linesPerSecond       = 20
	lineBurst            = 60
	servedLinesPerSecond = 5
	servedLineBurst      = 20
)

// fieldEvent carries the number of an event.
const fieldEvent = "event"

// Journal logs and counts what the gateway decides. Keys never appear in it. It is safe for concurrent use.
type Journal struct {
	log   logrus.FieldLogger
	none  *logrus.Logger // takes the lines that exceed a budget
	now   func() time.Duration
	count counters

	mu      sync.Mutex
	budgets map[string]*logbudget.Budget
}

type counters struct {
	served, refused, unanswered, connects, leftOut tally.Counter
	duration, roundTrip                            tally.Histogram
}

// NewJournal returns a journal that logs to log and counts in scope.
func NewJournal(log logrus.FieldLogger, scope tally.Scope, now func() time.Duration) *Journal {
	scope = scope.SubScope("gateway")
	none := logrus.New()
	none.SetOutput(io.Discard)
	none.SetLevel(logrus.PanicLevel)
	return &Journal{log: log, none: none, now: now, budgets: map[string]*logbudget.Budget{}, count: counters{
		served:     scope.Counter("served_total"),
		refused:    scope.Counter("refused_total"),
		unanswered: scope.Counter("unanswered_total"),
		connects:   scope.Counter("connects_total"),
		leftOut:    scope.Counter("log_lines_left_out_total"),
		duration:   scope.Histogram("served_seconds", telemetry.DurationBuckets()),
		roundTrip:  scope.Histogram("connect_seconds", telemetry.DurationBuckets()),
	}}
}

// event returns an entry for a line of an event, which goes nowhere when there were too many.
func (j *Journal) event(number string) *logrus.Entry {
	ok, leftOut := j.allow(number)
	if !ok {
		j.count.leftOut.Inc(1)
		return logrus.NewEntry(j.none)
	}
	if leftOut > 0 {
		j.log.WithFields(logrus.Fields{fieldEvent: EventLinesLeftOut, "of": number, "lines": leftOut}).
			Info("lines of an event were left out")
	}
	return j.log.WithField(fieldEvent, number)
}

func (j *Journal) allow(number string) (ok bool, leftOut uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := j.budgets[number]
	if b == nil {
		b = &logbudget.Budget{PerSecond: linesPerSecond, Burst: lineBurst}
		if number == EventServed {
			b = &logbudget.Budget{PerSecond: servedLinesPerSecond, Burst: servedLineBurst}
		}
		j.budgets[number] = b
	}
	return b.Allow(j.now())
}

// statement returns an entry for a line about a statement, with the configuration that decided on it.
func (j *Journal) statement(number string, n *session, stmt sessionstate.Statement) *logrus.Entry {
	return j.event(number).WithFields(logrus.Fields{
		"id": stmt.ID, "kind": stmt.Kind.String(), "route": n.route, "account": n.account, "tx": n.state.Tx.String(),
		"config": n.configVersion(),
	})
}

func (j *Journal) served(n *session, stmt sessionstate.Statement, s discovery.Server, tries int, took time.Duration) {
	j.count.served.Inc(1)
	j.count.duration.RecordValue(took.Seconds())
	j.statement(EventServed, n, stmt).WithFields(logrus.Fields{
		"server": s.ID, "tries": tries, "took_ms": took.Milliseconds(), "floor": n.floor.String(),
	}).Info("statement served")
}

func (j *Journal) refused(n *session, stmt sessionstate.Statement, e *outcome.Error, took time.Duration) {
	j.count.refused.Inc(1)
	j.statement(EventRefused, n, stmt).WithFields(logrus.Fields{
		"outcome": e.Kind.String(), "code": e.Code, "took_ms": took.Milliseconds(), "retry_after_ms": e.RetryAfter.Milliseconds(),
	}).Info(e.Message)
}

// triedAgain tells why a server did not run a statement, and by which belief it was chosen.
func (j *Journal) triedAgain(n *session, t *try, s discovery.Server, code string) {
	j.statement(EventTriedAgain, n, t.stmt).WithFields(logrus.Fields{
		"server": s.ID, "code": code, "tries": t.number, "as_leader": t.leads(), "floor": t.floor.String(),
		"entry_primary": s.Primary, "entry_revision": s.Revision,
	}).Info("server refused the statement; it is placed again")
}

func (j *Journal) noAnswer(n *session, stmt sessionstate.Statement, s discovery.Server, sent bool, err error) {
	j.count.unanswered.Inc(1)
	j.statement(EventNoAnswer, n, stmt).WithFields(logrus.Fields{
		"server": s.ID, "sent": sent, "lender": lenderOf(err),
	}).WithError(err).Warn("statement got no answer")
}

// lenderOf returns the instance that did not answer, empty if it was the server.
func lenderOf(err error) string {
	var silent *silentError
	if errors.As(err, &silent) {
		return silent.lender
	}
	return ""
}

// loanFailed tells why this instance, as a lender, could not answer a statement of another one.
func (j *Journal) loanFailed(w *work, d destination, err error) {
	j.event(EventLoanFailed).WithFields(logrus.Fields{
		"id": w.stmt.ID, "account": d.account, "server": d.server.ID, "left_ms": w.left.Milliseconds(),
	}).WithError(err).Info("statement of another instance was not answered")
}

func (j *Journal) unreachable(s discovery.Server, err error) {
	j.event(EventUnreachable).WithFields(logrus.Fields{
		"server": s.ID, "database": s.Database,
	}).WithError(err).Warn("no connection to the server")
}

func (j *Journal) sessionRefused(n *session, e *outcome.Error) {
	j.event(EventSessionRefused).WithFields(logrus.Fields{
		"route": n.route, "code": e.Code, "config": n.configVersion(),
	}).Info(e.Message)
}

func (j *Journal) sessionBroken(n *session, err error) {
	j.event(EventSessionBroken).WithFields(logrus.Fields{
		"route": n.route, "account": n.account, "tx": n.state.Tx.String(),
	}).WithError(err).Info("caller's connection ended")
}

func (j *Journal) idleTransaction(n *session) {
	j.event(EventIdleTransaction).WithFields(logrus.Fields{
		"route": n.route, "account": n.account, "limit_ms": n.tx.idleTimeout.Milliseconds(),
	}).Info("idle transaction rolled back")
}

func (j *Journal) acceptFailed(err error) {
	j.event(EventAcceptFailed).WithError(err).Warn("caller's connection was not accepted")
}

func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed)
}
