// Package database is a small stand-in for one server of a database group. It speaks the
// PostgreSQL protocol 3 over TCP, holds one table kv(key text, value text) and takes part in
// asynchronous replication, fencing and promotion.
//
// Invariants:
//
//   - The LSN grows by one with each record: one per committed transaction with writes, and one
//     that begins the term of a promotion. Records are never changed in place.
//   - A server accepts one fence owner per term, and only terms above its fence and its log's term.
//   - A fenced server takes no write and no log of a primary whose term is below the fence.
//   - Only a server fenced at exactly (term, owner) becomes the primary of term.
//   - Log and fence are recorded before the answer leaves, so a killed server that restarts with its
//     storage keeps its promises. Storage survives a killed process, not a lost machine.
//   - A rewind or a restart starts a new incarnation and drops all client connections.
//   - Statements that fail with 25006 have not run.
package database
