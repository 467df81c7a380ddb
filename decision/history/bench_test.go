package history

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCheck checks a correct history of 100,000 writes, as many reads and 200,000 admissions
// with uncertain times. Long soak tests need a cost that grows no faster than n log n.
func BenchmarkCheck(b *testing.B) {
	const writes, perKey = 100_000, 32
	h := History{Final: make(map[string][]string), Limits: map[string]Limit{"x": {Rate: 10_000, Burst: 10}}}
	for i := range writes {
		at := time.Duration(i) * ms
		key, value := fmt.Sprint("k", i/perKey), fmt.Sprint("v", i)
		h.Final[key] = append(h.Final[key], value)
		h.Events = append(h.Events,
			Event{Kind: WriteSent, At: at, Session: "s", Key: key, Value: value},
			Event{Kind: WriteAcknowledged, At: at + ms/4, Value: value},
			Event{Kind: ReadReturned, Sent: at + ms/2, At: at + ms, Session: "s", Key: key, Values: h.Final[key]},
			Event{Kind: Admitted, Account: "x", Sent: at, At: at + ms/4},
			Event{Kind: Admitted, Account: "x", Sent: at + ms/2, At: at + ms},
		)
	}
	for b.Loop() {
		if v := Check(h); len(v) > 0 {
			b.Fatal(v[0])
		}
	}
}
