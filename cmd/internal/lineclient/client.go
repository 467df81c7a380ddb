// Package lineclient is a caller of the users' line protocol, for load, demo and soak.
package lineclient

import (
	"bufio"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// ResponseTimeout is longer than an instance takes for any answer that it gives.
	ResponseTimeout = 4 * time.Second
	dialTimeout     = time.Second
)

// InvalidKey is the error word on a session whose key is not valid, or not any more.
const InvalidKey = "NOAUTH"

// Words of a Reply beside the error words of the protocol.
const (
	Receipt      = "receipt" // a server has run the statement
	Done         = "done"    // answered without a server
	Broken       = "broken"  // the connection ended before the answer was complete
	WrongReceipt = "foreign" // the answer carries the receipt of another statement
)

// States of a session in a Reply.
const (
	Idle          = "I"
	InTransaction = "T"
	Failed        = "E"
)

// retryAfterField names the time after which a refused statement should be repeated, in milliseconds.
const retryAfterField = "retry_after_ms="

// promises are the words that say that nothing of the operation is kept.
var noEffectErrors = map[string]bool{
	"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true,
	InvalidKey: true, "MALFORMED": true,
}

// NoEffect reports whether an error word says that nothing of the operation is kept.
func NoEffect(word string) bool {
	return noEffectErrors[word]
}

// Session is a caller's connection. It is not safe for concurrent use.
type Session struct {
	conn net.Conn
	in   *bufio.Reader
}

// Reply is what a caller was told.
type Reply struct {
	Outcome    string        // Receipt, Done, Broken, Foreign or an error word
	Value      string        // of the last row
	State      string        // of the session
	RetryAfter time.Duration // with an error word; 0: none was given
}

// TransactionOpen reports whether a transaction is open after the answer, be it failed.
func (r Reply) TransactionOpen() bool {
	return r.State == InTransaction || r.State == Failed
}

// SessionEnded reports whether the session serves nothing after the answer.
func (r Reply) SessionEnded() bool {
	return r.Outcome == Broken || r.Outcome == InvalidKey
}

// Dial opens a session on a route with a key.
func Dial(address, route, key string) (*Session, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "connect to an instance")
	}
	s := &Session{conn: conn, in: bufio.NewReader(conn)}
	if !s.send("STARTUP " + route + " " + key) {
		_ = conn.Close()
		return nil, errors.New("an instance closed the connection at the start of a session")
	}
	if answer := s.readLine(); !strings.HasPrefix(answer, "READY") {
		_ = conn.Close()
		return nil, errors.Newf("an instance refused the session: %q", answer)
	}
	return s, nil
}

// aliveProbeTimeout is how long Alive waits for the end of the connection. It is part of a caller's latency.
const aliveProbeTimeout = 100 * time.Microsecond

// Alive reports whether an idle session is still open. Instances end idle sessions, which is no failure.
func (s *Session) Alive() bool {
	_ = s.conn.SetReadDeadline(time.Now().Add(aliveProbeTimeout))
	_, err := s.in.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// Close ends the session.
func (s *Session) Close() {
	_ = s.conn.Close()
}

func (s *Session) send(line string) bool {
	_ = s.conn.SetDeadline(time.Now().Add(ResponseTimeout))
	_, err := s.conn.Write([]byte(line + "\r\n"))
	return err == nil
}

// readLine returns the next line, empty if the connection has ended.
func (s *Session) readLine() string {
	line, err := s.in.ReadString('\n')
	if err != nil {
		return ""
	}
	return strings.TrimRight(line, "\r\n")
}

// Query sends a statement and reads its answer.
func (s *Session) Query(id, text string) Reply {
	if !s.send("QUERY " + id + " " + text) {
		return Reply{Outcome: Broken}
	}
	var r Reply
	for {
		f := strings.Fields(s.readLine())
		if len(f) < 2 {
			return Reply{Outcome: Broken}
		}
		switch f[0] {
		case "DATAROW":
			r.Value = f[1]
		case "COMPLETE":
			r.Outcome = completionOutcome(f[1], id)
		case "ERROR":
			r.Outcome, r.RetryAfter = f[1], retryAfter(f[2:])
		case "READY":
			r.State = f[1]
			return r
		}
	}
}

// EndTransaction rolls back a transaction that an answer leaves open. It returns the last answer.
func (s *Session) EndTransaction(id string, r Reply) Reply {
	if !r.TransactionOpen() {
		return r
	}
	return s.Query(id, "ROLLBACK")
}

// completionOutcome returns the word for a receipt; those of the stand-in servers end with the statement's id.
func completionOutcome(receipt, id string) string {
	switch {
	case receipt == "-":
		return Done
	case strings.HasPrefix(receipt, "receipt-") && strings.HasSuffix(receipt, "-"+id):
		return Receipt
	}
	return WrongReceipt
}

func retryAfter(fields []string) time.Duration {
	for _, f := range fields {
		if text, ok := strings.CutPrefix(f, retryAfterField); ok {
			n, _ := strconv.Atoi(text) // not a number: no time was given
			return time.Duration(n) * time.Millisecond
		}
	}
	return 0
}
