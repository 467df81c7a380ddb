// Package statement classifies the SQL text of one request by its tokens, without a full parser. The
// class determines where a statement may run and whether it can run on a pooled connection at all.
//
// Invariants:
//
//   - A text is a Read only if it contains nothing that may write; in case of doubt it is a Write.
//     A read classified as a write can't be served by a replica; a write classified as a read
//     could be lost.
//   - A statement that leaves state behind on the server connection (COPY, LISTEN, temporary
//     tables, session advisory locks, session settings, SQL-level PREPARE, cursors WITH HOLD) is
//     Refused with a remedy, because connections are shared between sessions.
//   - The result depends on the text alone.
package statement
