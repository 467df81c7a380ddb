// Package load generates reads and writes through pgx, measures their latencies and records a
// history for package history.
//
// A write appends a value that is unique in the run to a key of its session; a read asks for a
// recent key of its own session. A session lives on across its connections and moves to the next
// address when a connection fails.
package load
