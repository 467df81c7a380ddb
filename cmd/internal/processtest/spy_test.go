package processtest

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/Shopify/toxiproxy/v2/toxics"
)

// sightings counts the pieces of traffic in which a text was seen.
type sightings struct{ n atomic.Int64 }

func (s *sightings) count() int64 { return s.n.Load() }

var (
	allSightings  sync.Map // by id of the spy
	lastSightings atomic.Int64
)

// spyToxic passes everything on and counts the pieces that hold a text.
type spyToxic struct {
	ID   int64  `json:"id"` // in allSightings
	Text string `json:"text"`
}

func init() { toxics.Register("spy", new(spyToxic)) }

// Pipe implements toxics.Toxic.
func (s *spyToxic) Pipe(stub *toxics.ToxicStub) {
	found, _ := allSightings.Load(s.ID)
	passOn(stub, func(data []byte) {
		if bytes.Contains(data, []byte(s.Text)) {
			found.(*sightings).n.Add(1)
		}
	})
}

// passOn shows what passes the relay to see and sends it on.
func passOn(stub *toxics.ToxicStub, see func(data []byte)) {
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

// spy counts requests through the relay that hold a text.
func (r *relay) spy(text string) *sightings {
	found, id := &sightings{}, lastSightings.Add(1)
	allSightings.Store(id, found)
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

var allRecordings sync.Map // by id of the toxic

// recordToxic passes everything on and keeps a copy.
type recordToxic struct {
	ID int64 `json:"id"` // in allRecordings
}

func init() { toxics.Register("record", new(recordToxic)) }

// Pipe implements toxics.Toxic.
func (r *recordToxic) Pipe(stub *toxics.ToxicStub) {
	found, _ := allRecordings.Load(r.ID)
	kept := found.(*recording)
	b := kept.open()
	passOn(stub, func(data []byte) { kept.add(b, data) })
}

// record keeps the requests through the relay.
func (r *relay) record(kept *recording) {
	id := lastSightings.Add(1)
	allRecordings.Store(id, kept)
	r.addToxic(`{"name": "record", "type": "record", "stream": %q, "attributes": {"id": `+fmt.Sprint(id)+`}}`, requests)
}
