package processtest

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/Shopify/toxiproxy/v2/toxics"
)

// matchCounter counts the pieces of traffic in which a text was seen.
type matchCounter struct{ n atomic.Int64 }

func (s *matchCounter) count() int64 { return s.n.Load() }

var (
	matchCounters sync.Map // by id of the spy
	lastToxicID   atomic.Int64
)

// matchToxic passes everything on and counts the pieces that hold a text.
type matchToxic struct {
	ID   int64  `json:"id"` // in matchCounters
	Text string `json:"text"`
}

func init() { toxics.Register("spy", new(matchToxic)) }

// Pipe implements toxics.Toxic.
func (s *matchToxic) Pipe(stub *toxics.ToxicStub) {
	found, _ := matchCounters.Load(s.ID)
	forward(stub, func(data []byte) {
		if bytes.Contains(data, []byte(s.Text)) {
			found.(*matchCounter).n.Add(1)
		}
	})
}

// forward shows what passes the relay to see and sends it on.
func forward(stub *toxics.ToxicStub, see func(data []byte)) {
	for {
		select {
		case <-stub.Interrupt:
			return
		case c := <-stub.Input:
			if c == nil {
				stub.Close()
				return
			}
			see(c.Data)
			stub.Output <- c
		}
	}
}

// countMatches counts requests through the relay that hold a text.
func (r *relay) countMatches(text string) *matchCounter {
	found, id := &matchCounter{}, lastToxicID.Add(1)
	matchCounters.Store(id, found)
	r.addToxic(`{"name": "spy", "type": "spy", "stream": %q, "attributes": `+fmt.Sprintf(`{"id": %d, "text": %q}}`, id, text), requests)
	return found
}

// recording keeps what one or more relays carried in one direction, by connection.
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

// count returns the number of connections that carried a text.
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

var recordings sync.Map // by id of the toxic

// recordToxic passes everything on and keeps a copy.
type recordToxic struct {
	ID int64 `json:"id"` // in recordings
}

func init() { toxics.Register("record", new(recordToxic)) }

// Pipe implements toxics.Toxic.
func (r *recordToxic) Pipe(stub *toxics.ToxicStub) {
	found, _ := recordings.Load(r.ID)
	kept := found.(*recording)
	b := kept.open()
	forward(stub, func(data []byte) { kept.add(b, data) })
}

// record keeps the requests through the relay.
func (r *relay) record(kept *recording) {
	id := lastToxicID.Add(1)
	recordings.Store(id, kept)
	r.addToxic(`{"name": "record", "type": "record", "stream": %q, "attributes": {"id": `+fmt.Sprint(id)+`}}`, requests)
}
