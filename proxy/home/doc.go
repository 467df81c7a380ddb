// Package home gives every server one home instance that holds its connections, slots and queue.
// Other instances check a connection out of the home over a drpc stream.
//
// The choice of the home needs no agreement: two homes during a change of the instance list only
// mean that the server's own connection limit refuses the excess, which proves "not run".
//
// Invariants:
//   - A refusal of the home proves that nothing of the statement has reached a server. After Open was
//     sent, every other failure leaves the outcome unknown.
//   - The home gives a connection back once. It is reused only after the whole answer, outside a
//     transaction, with unchanged settings and no cancel request under way.
//   - A message of one loan never reaches the connection of the next one on the same stream.
package home
