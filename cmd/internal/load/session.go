package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cyclamenstile/cyclamenstile/decision/history"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// valueTerminator ends each value so that a key's content can be split into values.
	valueTerminator = ";"
	// writesPerKey limits the content of a key.
	writesPerKey = 32
	// retryDelay is the mean wait after a failed connection attempt and, without an offered rate,
	// after a refused statement.
	retryDelay = 50 * time.Millisecond
	// maxBacklog limits how late a session with an offered rate sends a statement, so that it exceeds
	// the rate only briefly after a stall.
	maxBacklog = time.Second
)

// session is one session of a caller, with at most one connection at a time.
type session struct {
	cfg         Config
	account     Account
	name        string
	start       time.Time
	nextAddress int // index of the next address
	interval    time.Duration
	random      *rand.Rand

	conn             Conn
	connectionCount  int // connections opened so far
	statementsOnConn int // statements since the connection was opened
	token            string
	writes           int
	ackedValues      []string // acknowledged values since the last report of a lost write

	failures       map[string]int // statements by reason
	counts         Counts
	readLatencies  *hdrhistogram.Histogram
	writeLatencies *hdrhistogram.Histogram
	events         []history.Event
	ackTimes       []time.Duration // times of acknowledged writes
}

// run sends statements until ctx is canceled.
func (s *session) run(ctx context.Context) {
	defer s.disconnect()
	if s.interval > 0 {
		s.runAtRate(ctx)
		return
	}
	for ctx.Err() == nil {
		if !s.ensureConnected(ctx) {
			continue
		}
		if refused := s.runStatement(time.Now()); refused {
			s.backOff(ctx)
		}
		s.moveIfDue(ctx)
	}
}

// runAtRate sends a statement every interval. Statements that are due while the session has no
// connection, or has fallen behind by more than maxBacklog, are missed.
func (s *session) runAtRate(ctx context.Context) {
	due := time.Now().Add(time.Duration(s.random.Int64N(int64(s.interval))))
	for ; wait.For(ctx, time.Until(due)); due = due.Add(s.interval) {
		if time.Since(due) > maxBacklog || !s.ensureConnected(ctx) {
			s.counts.Missed++
			continue
		}
		s.runStatement(due)
		s.moveIfDue(ctx)
	}
}

// moveIfDue reconnects at the next address after Config.MoveAfter statements. It connects immediately so that
// the latency of the next statement does not include connecting.
func (s *session) moveIfDue(ctx context.Context) {
	s.statementsOnConn++
	if s.cfg.MoveAfter == 0 || s.statementsOnConn < s.cfg.MoveAfter {
		return
	}
	s.disconnect()
	s.ensureConnected(ctx)
}

func (s *session) backOff(ctx context.Context) {
	wait.For(ctx, time.Duration(s.random.Int64N(int64(2*retryDelay))))
}

// runStatement runs one statement to completion, even past the end of the run: canceling it in flight
// would only add an unknown outcome. It reports whether the statement was refused as not run.
func (s *session) runStatement(due time.Time) bool {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.StatementTimeout)
	defer cancel()
	var err error
	if s.random.Float64() < s.cfg.ReadShare {
		err = s.read(ctx, due)
	} else {
		err = s.write(ctx, due)
	}
	if reportsLostWrite(err) {
		s.recordLostWrite()
	}
	if s.conn.Closed() {
		s.disconnect()
	}
	return Classify(err) == history.WriteNotRun
}

// read reads the current or the previous key of the session.
func (s *session) read(ctx context.Context, due time.Time) error {
	key := s.key(max(0, s.writes-s.random.IntN(2)*writesPerKey))
	sent := s.now()
	content, err := s.conn.Read(ctx, key)
	s.countOutcome(err, sent)
	if err != nil {
		return err
	}
	s.recordLatency(s.readLatencies, due)
	s.recordEvent(history.Event{Kind: history.ReadReturned, Sent: sent, At: s.now(), Key: key, Values: splitContent(content)})
	return nil
}

func (s *session) write(ctx context.Context, due time.Time) error {
	key := s.key(s.writes)
	value := fmt.Sprintf("%s.%d", s.name, s.writes)
	s.writes++
	sent := s.now()
	s.recordEvent(history.Event{Kind: history.WriteSent, At: sent, Key: key, Value: value})
	err := s.conn.Append(ctx, key, value+valueTerminator)
	s.countOutcome(err, sent)
	s.updateToken()
	outcome := Classify(err)
	s.recordEvent(history.Event{Kind: outcome, At: s.now(), Key: key, Value: value, Term: s.term()})
	if outcome == history.WriteUnknown && s.cfg.NewKeyAfterUnknown {
		s.writes += writesPerKey - s.writes%writesPerKey
	}
	if err != nil {
		return err
	}
	s.recordLatency(s.writeLatencies, due)
	s.ackTimes = append(s.ackTimes, s.now())
	if !s.cfg.NoHistory {
		s.ackedValues = append(s.ackedValues, value)
	}
	return nil
}

func (s *session) key(write int) string {
	return s.name + "/" + strconv.Itoa(write/writesPerKey)
}

func splitContent(content string) []string {
	if content == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(content, valueTerminator), valueTerminator)
}

func (s *session) now() time.Duration { return time.Since(s.start) }

func (s *session) recordEvent(e history.Event) {
	if s.cfg.NoHistory {
		return
	}
	e.Session, e.Account = s.name, s.account.Name
	if s.cfg.SessionPerConnection {
		e.Session += "#" + strconv.Itoa(s.connectionCount)
	}
	s.events = append(s.events, e)
}

// recordLostWrite records all acknowledged writes as reported lost, because the report doesn't name the lost one.
func (s *session) recordLostWrite() {
	s.counts.ReportedLost++
	for _, value := range s.ackedValues {
		s.recordEvent(history.Event{Kind: history.WriteReportedLost, At: s.now(), Value: value})
	}
	s.ackedValues = nil
}

func (s *session) countOutcome(err error, sent time.Duration) {
	s.counts.Sent++
	if err != nil {
		s.failures[failureReason(err)]++
	}
	switch Classify(err) {
	case history.WriteAcknowledged:
		s.counts.Succeeded++
		s.recordEvent(history.Event{Kind: history.Admitted, Sent: sent, At: s.now()})
	case history.WriteNotRun:
		s.counts.NotRun++
		s.recordEvent(history.Event{Kind: history.Refused, Sent: sent, At: s.now()})
	default:
		s.counts.Unknown++
	}
}

// recordLatency records a latency from the time at which the statement was due, so that a stall also
// shows in the statements queued behind it (coordinated omission).
func (s *session) recordLatency(h *hdrhistogram.Histogram, due time.Time) {
	_ = h.RecordValue(min(time.Since(due).Microseconds(), maxLatency.Microseconds()))
}

func (s *session) updateToken() {
	if t := s.conn.Token(); t != "" {
		s.token = t
	}
}

func (s *session) term() uint64 {
	if s.cfg.TermOf == nil || s.token == "" {
		return 0
	}
	return s.cfg.TermOf(s.token)
}

// ensureConnected connects the session if necessary. If that fails it backs off and returns false.
func (s *session) ensureConnected(ctx context.Context) bool {
	if s.conn != nil {
		return true
	}
	conn, err := s.connect(ctx)
	if err == nil {
		s.conn = conn
		s.connectionCount++
		s.statementsOnConn = 0
		return true
	}
	if ctx.Err() == nil {
		s.counts.ConnectFailures++
		s.backOff(ctx)
	}
	return false
}

func (s *session) connect(ctx context.Context) (Conn, error) {
	address := s.cfg.Addresses[s.nextAddress%len(s.cfg.Addresses)]
	s.nextAddress++
	token := ""
	if s.cfg.UseToken {
		token = s.token
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.StatementTimeout)
	defer cancel()
	return s.cfg.Open(ctx, address, s.account, token)
}

func (s *session) disconnect() {
	if s.conn != nil {
		s.conn.Close()
	}
	s.conn = nil
}
