package pgframe

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"
)

// Guards against messages that are miscounted where a read ends inside one, which would leave a
// connection unwatched or watched while nothing is outstanding.
func TestScannerCountsRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		var want uint64
		for range rapid.IntRange(0, 20).Draw(t, "messages") {
			var m pgproto3.FrontendMessage = &pgproto3.Query{String: rapid.StringN(0, 40, -1).Draw(t, "sql")}
			switch rapid.IntRange(0, 2).Draw(t, "type") {
			case 0:
				want++
			case 1:
				want++
				m = &pgproto3.Sync{}
			case 2:
				m = &pgproto3.Bind{Parameters: [][]byte{rapid.SliceOf(rapid.Byte()).Draw(t, "value")}}
			}
			stream, _ = m.Encode(stream)
		}
		var f Scanner
		var got uint64
		count := func(kind, _ byte) {
			if ExpectsReadyForQuery(kind) {
				got++
			}
		}
		for len(stream) > 0 {
			n := rapid.IntRange(1, len(stream)).Draw(t, "piece")
			f.Scan(stream[:n], count)
			stream = stream[n:]
		}
		if got != want || !f.AtBoundary() {
			t.Fatalf("%d requests counted, want %d; %+v left", got, want, f)
		}
	})
}
