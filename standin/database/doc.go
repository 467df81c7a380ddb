// Package database is a small stand-in for a database group. Each of its servers speaks version 3 of
// the PostgreSQL protocol over TCP, holds one table kv(key text, value text) and takes part in
// asynchronous replication, fencing and promotion.
//
// Invariants:
//
//   - The LSN grows by one with each record: one per committed transaction with writes, and one
//     that begins a term after a promotion. Records are never changed in place.
//   - A server accepts one fence owner per term, and only terms above its fence and its log's term.
//   - A fenced server accepts no writes, and no log records of a primary whose term is below the fence.
//   - Only a server fenced at exactly (term, owner) becomes the primary of term.
//   - Log records, fences and promotions are stored before they are acknowledged, so a killed server
//     that restarts with its storage still honours them. Storage survives a killed process, but not
//     the loss of the machine.
//   - A rewind or a restart starts a new incarnation and drops all client connections.
//   - Statements that fail with 25006 have not been executed.
package database
