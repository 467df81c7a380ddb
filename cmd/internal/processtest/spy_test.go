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
	for {
		select {
		case <-stub.Interrupt:
			return
		case c := <-stub.Input:
			if c == nil {
				stub.Close()
				return
			}
			if bytes.Contains(c.Data, []byte(s.Text)) {
				found.(*sightings).n.Add(1)
			}
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
