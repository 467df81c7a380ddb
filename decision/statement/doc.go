// Package statement classifies the SQL text of one request by its first words, without parsing
// it. It decides where a statement may run and which statements a pooled connection can't carry.
//
// Invariants:
//
//   - A text is a Read only when every word in it is known to be harmless; anything doubtful is a
//     Write. Taking a read for a write costs a replica's help; the opposite could lose a write.
//   - A statement that leaves state behind on the server connection (COPY, LISTEN, temporary
//     tables, session advisory locks, session settings, SQL-level PREPARE, cursors WITH HOLD) is
//     Refused with a remedy, because connections are shared between sessions.
//   - The result depends on the text alone.
package statement
