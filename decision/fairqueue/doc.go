// Package fairqueue shares one server's execution slots and connections between client accounts.
//
// It implements weighted start-time fair queueing over accounts and charges each statement for the
// time for which it held a slot. Invariants:
//
//   - At most Config.Slots requests hold a slot and at most Config.Connections hold a connection.
//   - Requests of one account are granted in order of arrival.
//   - A backlogged account gets slot time in proportion to its weight, regardless of the load of others.
//   - A request that can't be granted before its deadline is refused on arrival or expires on the
//     first call of Queue.Expire after its deadline.
//   - At most Config.QueuePerAccount requests of an account are queued, which bounds memory.
//   - The cost of a call grows with the number of backlogged accounts, not of known accounts.
package fairqueue
