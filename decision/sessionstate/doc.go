// Package sessionstate tracks the state of one caller's session, independent of its protocol: session
// values, prepared statements and the transaction state.
//
// Invariants:
//
//   - A session value or prepared statement is part of the state once it was acknowledged, and
//     remains until the session ends or the caller removes it.
//   - A failed transaction accepts only COMMIT or ROLLBACK, and its end is never reported as success
//     for work that was not committed.
//   - Names of prepared statements are local to the session. On the server, statements are named by
//     their content, so that sessions can share a server connection.
package sessionstate
