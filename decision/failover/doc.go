// Package failover decides when the primary of a database is replaced. Promotions are fenced calls to the
// platform; there is no external report that a primary has failed.
//
// Invariants:
//
//   - A primary that another instance reaches is replaced only if a majority has lost contact with it for a
//     while, or if its entry is marked as leaving or is missing.
//   - After an accepted order, the next one of the same instance for the database follows when the promotion had
//     time to become visible; after a failed one, after a shorter delay.
//   - A primary outside its home regions hands over to a server there at most once in 30 s, and not within 30 s of any
//     other promotion that this instance has seen.
//   - A primary whose replacement was claimed and not carried out is replaced once the claim has not been renewed for a while.
//   - A leaving or evacuated primary hands over: it is asked to step down, and its successor receives all of its log
//     before it is promoted.
//
// Safety does not depend on these decisions: the fence of an order comes from a conditional write that only one
// instance can win, and the platform refuses an order with an older fence. Where it does not, package leaderlease decides when the
// order may be sent.
//
// Load: a database has a few servers; the machine is idle while the primary answers.
package failover
