package pgframe

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"
)

// Guards against miscounting messages when a read ends inside one. A connection would then not be
// monitored, or be monitored while no request is outstanding.
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
		var scanner Scanner
		var got uint64
		count := func(kind, _ byte) {
			if ExpectsReadyForQuery(kind) {
				got++
			}
		}
		for len(stream) > 0 {
			n := rapid.IntRange(1, len(stream)).Draw(t, "piece")
			scanner.Scan(stream[:n], count)
			stream = stream[n:]
		}
		if got != want || !scanner.AtBoundary() {
			t.Fatalf("%d requests counted, want %d; scanner ends in state %+v", got, want, scanner)
		}
	})
}
