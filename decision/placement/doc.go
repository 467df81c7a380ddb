// Package placement chooses the server for a statement. A read can require its replica to have reached a log
// position, and a server proves that it is the leader by accepting a transaction.
//
// Invariants:
//
//   - The floor for a staleness bound is taken from a proven leader's answer to a request that was sent
//     within the bound, so every commit acknowledged before the bound is at or below the floor.
//   - A sample of a newer term replaces positions of older terms: what the newer leader has kept of the
//     older terms lies below every position of its own.
//   - Only a server that proves to be the leader serves writes and reads without a staleness bound.
//   - A server that the newest claim does not allow is not used as the leader, nor one that still claims to be the primary although
//     another was promoted since, nor one whose replacement is ordered. On some platforms they go on committing writes.
//   - Leaving servers get no new work.
//   - Servers in an evacuated failure domain get no work at all, not even as the leader.
//   - The expected wait that a server's scheduler has announced adds to the cost of the server for half a second.
package placement
