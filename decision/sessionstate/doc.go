// Package sessionstate tracks what one caller's session has established, independent of the protocol
// that it speaks: session values, prepared statements and the transaction state.
//
// Invariants:
//
//   - A value or a prepared statement is part of the state once its setting was acknowledged, and
//     stays so until the session ends or the caller removes it.
//   - In a failed transaction, nothing but its end is accepted, and its end never reports success
//     for work that was not committed.
//   - Names of prepared statements never leave the session: what a server gets is named by
//     content, so that two sessions can share a server connection.
package sessionstate
