package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"

	"github.com/cyclamenstile/cyclamenstile/decision/history"
)

// maxLatency is the highest latency that a histogram records; longer ones count as maxLatency.
const maxLatency = time.Minute

// significantFigures is the precision of latencies in a histogram.
const significantFigures = 3

// Counts holds the number of statements of an account by outcome.
type Counts struct {
	Sent, Succeeded, NotRun, Unknown int
	ReportedLost                     int // reports that an acknowledged write is lost
	ConnectFailures                  int
	Missed                           int // due at the offered rate but not sent
}

func (c *Counts) add(d Counts) {
	c.Sent += d.Sent
	c.Succeeded += d.Succeeded
	c.NotRun += d.NotRun
	c.Unknown += d.Unknown
	c.ReportedLost += d.ReportedLost
	c.ConnectFailures += d.ConnectFailures
	c.Missed += d.Missed
}

// Result holds the measurements of a run. Histograms are in microseconds.
type Result struct {
	Elapsed   time.Duration
	Counts    map[string]Counts                  // by account
	Failures  map[string]map[string]int          // statements by account and reason: SQLSTATE and message
	Latencies map[string]*hdrhistogram.Histogram // of reads and writes, by account
	Reads     *hdrhistogram.Histogram
	Writes    *hdrhistogram.Histogram
	WriteGap  time.Duration // longest time in which no session had a write acknowledged
	History   history.History
	keyPrefix string
}

// NewHistogram returns an empty histogram of latencies in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures)
}

// Run generates load for c.Duration or until ctx is canceled. It waits for statements in flight.
func Run(ctx context.Context, c Config) (*Result, error) {
	c, err := c.withDefaults()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	start := time.Now()
	sessions := newSessions(c, start)
	var running sync.WaitGroup
	for _, s := range sessions {
		running.Add(1)
		go func() {
			defer running.Done()
			s.run(ctx)
		}()
	}
	running.Wait()
	return collect(c, sessions, time.Since(start)), nil
}

func newSessions(c Config, start time.Time) []*session {
	var sessions []*session
	for i, account := range c.Accounts {
		n := c.sessionsOf(i)
		for range n {
			number := len(sessions)
			s := &session{
				cfg:            c,
				account:        account,
				name:           fmt.Sprintf("%s-%d", c.RunName, number),
				start:          start,
				nextAddress:    number,
				random:         rand.New(rand.NewPCG(c.Seed, uint64(number))),
				failures:       make(map[string]int),
				readLatencies:  NewHistogram(),
				writeLatencies: NewHistogram(),
			}
			if account.Rate > 0 {
				s.interval = time.Duration(float64(n) / account.Rate * float64(time.Second))
			}
			sessions = append(sessions, s)
		}
	}
	return sessions
}

func collect(c Config, sessions []*session, elapsed time.Duration) *Result {
	r := &Result{
		Elapsed:   elapsed,
		Counts:    make(map[string]Counts),
		Failures:  make(map[string]map[string]int),
		Latencies: make(map[string]*hdrhistogram.Histogram),
		Reads:     NewHistogram(),
		Writes:    NewHistogram(),
		keyPrefix: c.RunName + "-",
	}
	for _, account := range c.Accounts {
		r.Latencies[account.Name] = NewHistogram()
		r.Failures[account.Name] = make(map[string]int)
	}
	var acks []time.Duration
	for _, s := range sessions {
		r.addSession(s)
		acks = append(acks, s.ackTimes...)
	}
	r.WriteGap = longestGap(acks, elapsed)
	return r
}

func (r *Result) addSession(s *session) {
	name := s.account.Name
	counts := r.Counts[name]
	counts.add(s.counts)
	r.Counts[name] = counts
	for reason, n := range s.failures {
		r.Failures[name][reason] += n
	}
	r.Latencies[name].Merge(s.readLatencies)
	r.Latencies[name].Merge(s.writeLatencies)
	r.Reads.Merge(s.readLatencies)
	r.Writes.Merge(s.writeLatencies)
	r.History.Events = append(r.History.Events, s.events...)
}

// longestGap returns the longest interval between 0 and end that contains none of the times.
func longestGap(times []time.Duration, end time.Duration) time.Duration {
	slices.Sort(times)
	var gap, last time.Duration
	for _, t := range append(times, end) {
		gap = max(gap, t-last)
		last = t
	}
	return gap
}

// ReadFinalContent reads the content of this run's keys at address into the history.
func (r *Result) ReadFinalContent(ctx context.Context, address, database string, account Account) error {
	conf, err := ConnConfig(address, database, account)
	if err != nil {
		return err
	}
	conn, err := pgx.ConnectConfig(ctx, conf)
	if err != nil {
		return errors.Wrap(err, "connect to read the final content")
	}
	defer func() { _ = conn.Close(ctx) }()
	rows, err := conn.Query(ctx, "SELECT key, value FROM kv")
	if err != nil {
		return errors.Wrap(err, "read the final content")
	}
	content := make(map[string]string)
	var key, value string
	_, err = pgx.ForEachRow(rows, []any{&key, &value}, func() error {
		content[key] = value
		return nil
	})
	r.SetFinalContent(content)
	return errors.Wrap(err, "read the final content")
}

// SetFinalContent sets the final content of the history to that of this run's keys.
func (r *Result) SetFinalContent(content map[string]string) {
	r.History.Final = make(map[string][]string)
	for key, value := range content {
		if strings.HasPrefix(key, r.keyPrefix) {
			r.History.Final[key] = splitContent(value)
		}
	}
}
