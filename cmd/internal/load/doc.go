// Package load generates reads and writes, measures their latencies and records a history that package
// history checks. Sessions use pgx or the users' line protocol.
//
// A write appends a value that is unique in the run to a key of its session; a read asks for a
// recent key of its own session. A session outlives its connections and moves to the next
// address when a connection fails.
package load
