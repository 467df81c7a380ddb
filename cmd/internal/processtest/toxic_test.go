package processtest

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/Shopify/toxiproxy/v2/toxics"
)

// matchCounter counts the chunks of traffic that contain a text.
type matchCounter struct{ n atomic.Int64 }

func (c *matchCounter) count() int64 { return c.n.Load() }

var (
	matchCounters sync.Map // by ID of the toxic
	lastToxicID   atomic.Int64
)

// matchToxic forwards all traffic and counts the chunks that contain a text.
type matchToxic struct {
	ID   int64  `json:"id"` // key in matchCounters
	Text string `json:"text"`
}

func init() { toxics.Register("spy", new(matchToxic)) }

// Pipe implements toxics.Toxic.
func (m *matchToxic) Pipe(stub *toxics.ToxicStub) {
	found, _ := matchCounters.Load(m.ID)
	forward(stub, func(data []byte) {
		if bytes.Contains(data, []byte(m.Text)) {
			found.(*matchCounter).n.Add(1)
		}
	})
}

// forward passes the traffic of the relay to observe and sends it on.
func forward(stub *toxics.ToxicStub, observe func(data []byte)) {
	for {
		select {
		case <-stub.Interrupt:
			return
		case c := <-stub.Input:
			if c == nil {
				stub.Close()
				return
			}
			observe(c.Data)
			stub.Output <- c
		}
	}
}

// countMatches counts the chunks of requests through the relay that contain a text.
func (r *relay) countMatches(text string) *matchCounter {
	counter, id := &matchCounter{}, lastToxicID.Add(1)
	matchCounters.Store(id, counter)
	r.addToxic(`{"name": "spy", "type": "spy", "stream": %q, "attributes": `+fmt.Sprintf(`{"id": %d, "text": %q}}`, id, text), requests)
	return counter
}

// recording holds the traffic of one or more relays in one direction, by connection.
type recording struct {
	mu    sync.Mutex
	conns []*bytes.Buffer
}

func (r *recording) open() *bytes.Buffer {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := new(bytes.Buffer)
	r.conns = append(r.conns, b)
	return b
}

func (r *recording) add(b *bytes.Buffer, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b.Write(data)
}

// count returns the number of connections whose traffic contains a text.
func (r *recording) count(text string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, b := range r.conns {
		if bytes.Contains(b.Bytes(), []byte(text)) {
			n++
		}
	}
	return n
}

// size returns the number of recorded bytes.
func (r *recording) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, b := range r.conns {
		n += b.Len()
	}
	return n
}

var recordings sync.Map // by ID of the toxic

// recordToxic forwards all traffic and records a copy.
type recordToxic struct {
	ID int64 `json:"id"` // key in recordings
}

func init() { toxics.Register("record", new(recordToxic)) }

// Pipe implements toxics.Toxic.
func (r *recordToxic) Pipe(stub *toxics.ToxicStub) {
	found, _ := recordings.Load(r.ID)
	rec := found.(*recording)
	b := rec.open()
	forward(stub, func(data []byte) { rec.add(b, data) })
}

// record records the requests through the relay.
func (r *relay) record(rec *recording) {
	id := lastToxicID.Add(1)
	recordings.Store(id, rec)
	r.addToxic(`{"name": "record", "type": "record", "stream": %q, "attributes": {"id": `+fmt.Sprint(id)+`}}`, requests)
}
