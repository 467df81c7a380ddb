// Package home gives every server one home instance that holds its connections, slots and queue.
// Other instances check connections out of the home over drpc streams.
//
// The choice of the home needs no consensus: if a server has two homes while the instance list
// changes, the server's own connection limit refuses the excess connections, and a refused connection
// proves that the statement was not run.
//
// Invariants:
//   - A refusal by the home proves that no part of the statement has reached a server. Once Open has
//     been sent, every other failure leaves the outcome unknown.
//   - The home returns a connection to its pool exactly once. The connection is reused only after the
//     complete response, outside a transaction, with unchanged settings and without a cancel request
//     in progress.
//   - A message of one loan never reaches the connection of the next loan on the same stream.
package home
