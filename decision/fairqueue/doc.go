// Package fairqueue shares one server's execution slots and connections between client accounts.
//
// It is start-time fair queueing over accounts, weighted, with each statement charged for the
// time that it held a slot. Invariants:
//
//   - At most Config.Slots requests hold a slot and at most Config.Connections hold a connection.
//   - Requests of one account are granted in the order in which they came.
//   - A backlogged account gets slot time in proportion to its weight, whatever others send.
//   - A request that can't be granted before its deadline is refused when it arrives, or on the
//     first call after its deadline.
//   - Memory is bounded by Config.QueuePerAccount requests for each account.
//   - The cost of a call grows with the accounts that wait, not with those that are known.
package fairqueue
