package history

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Check returns the violations in h, at most one of each type per written value or account. The
// result is empty if there are none.
func Check(h History) []Violation {
	c := &checker{writes: make(map[string]*write), reported: make(map[reportKey]bool)}
	c.collectWrites(h.Events)
	c.checkContents(observedContents(h))
	c.checkReads(h.Events)
	c.checkSupersession(h.Events)
	if h.Final != nil {
		c.checkLost(h.Final)
	}
	c.checkAdmissions(h)
	return c.violations
}

type reportKey struct {
	kind  string
	value string
}

type checker struct {
	writes     map[string]*write // keyed by value
	ordered    []*write          // in order of their first event
	reported   map[reportKey]bool
	violations []Violation
}

// report adds v unless a violation of this kind was already reported for value.
func (c *checker) report(kind, value string, v Violation) {
	key := reportKey{kind, value}
	if c.reported[key] {
		return
	}
	c.reported[key] = true
	c.violations = append(c.violations, v)
}

func (c *checker) collectWrites(events []Event) {
	for _, e := range events {
		switch e.Kind {
		case WriteSent:
			w := c.writeFor(e)
			w.session, w.key, w.sent = e.Session, e.Key, e.At
		case WriteAcknowledged:
			c.recordAnswer(e, outcomeAcknowledged)
			c.writeFor(e).term = e.Term
		case WriteNotRun:
			c.recordAnswer(e, outcomeNotRun)
		case WriteUnknown:
			c.recordAnswer(e, outcomeUnknown)
		case WriteReportedLost:
			c.recordLoss(e)
		}
	}
}

func (c *checker) writeFor(e Event) *write {
	w := c.writes[e.Value]
	if w == nil {
		w = &write{session: e.Session, key: e.Key, value: e.Value}
		c.writes[e.Value] = w
		c.ordered = append(c.ordered, w)
	}
	return w
}

func (c *checker) recordAnswer(e Event, o outcome) {
	w := c.writeFor(e)
	w.answered = e.At
	if w.outcome != outcomeReportedLost {
		w.outcome = o
	}
}

func (c *checker) recordLoss(e Event) {
	w := c.writeFor(e)
	w.outcome, w.lostAt = outcomeReportedLost, e.At
}

// observedContents returns every observed content of a key.
func observedContents(h History) []keyContent {
	var list []keyContent
	for _, e := range h.Events {
		if e.Kind == ReadReturned {
			list = append(list, keyContent{key: e.Key, values: e.Values, at: e.At})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(h.Final)) {
		list = append(list, keyContent{key: key, values: h.Final[key], final: true})
	}
	return list
}

func (c *checker) checkContents(list []keyContent) {
	for _, content := range list {
		for value, times := range countValues(content.values) {
			if w := c.writes[value]; w != nil {
				c.checkPresent(content, w, times)
			}
		}
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.String(), b.String()) })
}

func (c *checker) checkPresent(content keyContent, w *write, times int) {
	if content.key != w.key {
		c.report("mixed", w.value, MixedResult{Key: content.key, Value: w.value, WrittenKey: w.key})
		return
	}
	if times > 1 {
		c.report("twice", w.value, ExecutedTwice{Session: w.session, Key: w.key, Value: w.value, Times: times})
	}
	if w.outcome == outcomeNotRun {
		c.report("not run", w.value, RanAfterNotRun{Session: w.session, Key: w.key, Value: w.value, Refused: w.answered})
	}
}

func countValues(values []string) map[string]int {
	n := make(map[string]int, len(values))
	for _, v := range values {
		n[v]++
	}
	return n
}

// sessionKey identifies the writes of one session to one key.
type sessionKey struct {
	session, key string
}

func (c *checker) checkReads(events []Event) {
	acknowledged := make(map[sessionKey][]*write)
	for _, w := range c.ordered {
		if w.outcome == outcomeAcknowledged || w.outcome == outcomeReportedLost && w.answered > 0 {
			k := sessionKey{w.session, w.key}
			acknowledged[k] = append(acknowledged[k], w)
		}
	}
	for _, e := range events {
		if e.Kind == ReadReturned {
			c.checkRead(e, acknowledged[sessionKey{e.Session, e.Key}])
		}
	}
}

func (c *checker) checkRead(e Event, ownWrites []*write) {
	if len(ownWrites) == 0 {
		return
	}
	seen := countValues(e.Values)
	for _, w := range ownWrites {
		if w.answered > e.Sent || seen[w.value] > 0 || w.lostBefore(e.At) {
			continue
		}
		c.report("stale", w.value, StaleRead{Session: e.Session, Key: e.Key, Value: w.value, Acknowledged: w.answered, Sent: e.Sent})
	}
}

// lostBefore reports whether the loss of the write had been reported to the session by the given time.
func (w *write) lostBefore(at time.Duration) bool {
	return w.outcome == outcomeReportedLost && w.lostAt <= at
}

func (c *checker) checkLost(final map[string][]string) {
	present := make(map[string]bool)
	for _, values := range final {
		for _, v := range values {
			present[v] = true
		}
	}
	for _, w := range c.ordered {
		if w.outcome == outcomeAcknowledged && !present[w.value] {
			c.report("lost", w.value, LostWrite{Session: w.session, Key: w.key, Value: w.value, Acknowledged: w.answered})
		}
	}
}

func (c *checker) checkSupersession(events []Event) {
	var terms []Event
	for _, e := range events {
		if e.Kind == Superseded {
			terms = append(terms, e)
		}
	}
	for _, w := range c.ordered {
		if w.outcome != outcomeAcknowledged || w.term == 0 {
			continue
		}
		for _, t := range terms {
			if t.Term > w.term && w.sent > t.At {
				c.report("superseded", w.value, AcknowledgedAfterSupersession{
					Session: w.session, Key: w.key, Value: w.value, Sent: w.sent,
					Term: w.term, NewerTerm: t.Term, Superseded: t.At,
				})
			}
		}
	}
}
