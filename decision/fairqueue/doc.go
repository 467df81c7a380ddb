// Package fairqueue shares one server's execution slots and connections between client accounts.
//
// It implements weighted start-time fair queueing over accounts and charges each statement for the
// time for which it held a slot. Invariants:
//
//   - At most Config.Slots requests hold a slot and at most Config.Connections hold a connection.
//   - Requests of one account are granted in order of arrival, except that those that continue granted work go
//     first and those that can't meet their Request.Target go after those that can.
//   - A late request is granted after at most seven others of its account that wait with it.
//   - A backlogged account gets slot time in proportion to its weight, regardless of the load of others.
//   - A slot is not free while a request waits that fits.
//   - A request that can't be granted before its deadline is refused on arrival, by Queue.Shed once its
//     expected wait has grown, or expires on the first call of Queue.Expire after its deadline.
//   - The expected wait grows while the server answers nothing, with the age of the running requests.
//   - At most Config.QueuePerAccount requests of an account are queued, which bounds memory. Requests that continue granted
//     work are queued beyond that; their number is bounded by that of the connections.
//   - The cost of a call grows with the number of backlogged accounts, not of known accounts.
//
// Load: one scheduler for each of 24 servers with 4 slots and 400 statements a second, 85 accounts of very unequal
// demand, bursts of 2.6 times the usual demand of a class and of five times that of one account.
package fairqueue
