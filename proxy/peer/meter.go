package peer

import (
	"context"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"
	"storj.io/drpc"
	"storj.io/drpc/drpcenc"
)

// maxMeteredMessages bounds the series of a Meter. The instances have about ten kinds of messages.
const maxMeteredMessages = 32

// Meter counts the calls between instances and the bytes of their messages, without framing, by kind of message. A nil Meter
// counts nothing.
type Meter struct {
	scope tally.Scope

	mu    sync.Mutex
	kinds map[string]*messageCounters // by rpc
}

// NewMeter returns a meter whose counters are in scope.
func NewMeter(scope tally.Scope) *Meter {
	return &Meter{scope: scope, kinds: map[string]*messageCounters{}}
}

// messageCounters count the calls of one kind.
type messageCounters struct {
	made, answered tally.Counter
	sent, received tally.Counter // bytes
}

// of returns the counters of an rpc, or of all others if there are too many.
func (m *Meter) of(rpc string) *messageCounters {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.kinds[rpc]; c != nil {
		return c
	}
	if len(m.kinds) >= maxMeteredMessages {
		rpc = "(other)"
	}
	if m.kinds[rpc] == nil {
		m.kinds[rpc] = m.newCounters(strings.TrimPrefix(rpc, "/"))
	}
	return m.kinds[rpc]
}

func (m *Meter) newCounters(message string) *messageCounters {
	direction := func(name string) tally.Scope {
		return m.scope.Tagged(map[string]string{"message": message, "direction": name})
	}
	return &messageCounters{
		made: direction("out").Counter("peer_calls_total"), answered: direction("in").Counter("peer_calls_total"),
		sent: direction("out").Counter("peer_bytes_total"), received: direction("in").Counter("peer_bytes_total"),
	}
}

// meteredConn counts the calls over a connection.
type meteredConn struct {
	drpc.Conn
	meter *Meter
}

// Invoke implements drpc.Conn.
func (c meteredConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	counters := c.meter.of(rpc)
	counters.made.Inc(1)
	return c.Conn.Invoke(ctx, rpc, meteredEncoding{enc, counters}, in, out)
}

// NewStream implements drpc.Conn.
func (c meteredConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	counters := c.meter.of(rpc)
	counters.made.Inc(1)
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	return meteredStream{stream, counters}, nil
}

// meteredStream counts the messages of a call that carries several, or that is answered.
type meteredStream struct {
	drpc.Stream
	counters *messageCounters
}

// MsgSend implements drpc.Stream.
func (s meteredStream) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgSend(msg, meteredEncoding{enc, s.counters})
}

// MsgRecv implements drpc.Stream.
func (s meteredStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(msg, meteredEncoding{enc, s.counters})
}

// meteredEncoding counts the bytes of encoded and decoded messages.
type meteredEncoding struct {
	drpc.Encoding
	counters *messageCounters
}

// Marshal implements drpc.Encoding.
func (e meteredEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := e.Encoding.Marshal(msg)
	e.counters.sent.Inc(int64(len(data)))
	return data, err
}

// MarshalAppend lets drpc encode into its own buffer.
func (e meteredEncoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	data, err := drpcenc.MarshalAppend(msg, e.Encoding, buf)
	e.counters.sent.Inc(int64(max(len(data)-len(buf), 0)))
	return data, err
}

// Unmarshal implements drpc.Encoding.
func (e meteredEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	e.counters.received.Inc(int64(len(buf)))
	return e.Encoding.Unmarshal(buf, msg)
}
