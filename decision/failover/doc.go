// Package failover decides when the primary of a database is replaced, where promotions are fenced calls to
// the platform and nobody reports that a primary is dead.
//
// Invariants:
//
//   - A primary that another instance reaches is replaced only when a majority has lost it for a while, or
//     when its own entry says that it leaves or is gone.
//   - Between two orders of one instance for a database lies the time that a promotion takes to show.
//   - A primary that leaves is replaced in good order: it is asked to step down, and its successor has all
//     of its log first.
//
// Safety does not rest on these decisions: the platform refuses an order with an older fence, and the fence of
// an order comes from a conditional write that only one instance can win.
//
// Load: one database has a few servers; the machine is idle while its primary answers.
package failover
