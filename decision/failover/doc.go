// Package failover decides when the primary of a database is replaced. Promotions are fenced calls to the
// platform; there is no external report that a primary has failed.
//
// Invariants:
//
//   - A primary that another instance reaches is replaced only if a majority has lost contact with it for a
//     while, or if its entry is marked as leaving or is missing.
//   - Two orders of one instance for a database are at least as far apart as a promotion takes to become
//     visible.
//   - A leaving primary hands over: it is asked to step down, and its successor receives all of its log
//     before it is promoted.
//
// Safety does not depend on these decisions: the platform refuses an order with an older fence, and the fence
// of an order comes from a conditional write that only one instance can win.
//
// Load: a database has a few servers; the machine is idle while the primary answers.
package failover
