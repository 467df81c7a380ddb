// Package placement chooses the server for a statement where replicas can be asked for a log position
// and the leader proves itself by accepting a transaction.
//
// Invariants:
//
//   - A floor for a staleness bound comes from an answer of a proven leader to a request that was sent
//     within the bound, so every commit acknowledged before the bound is at or below it.
//   - A position of an older term is replaced by a sample of a newer term: what the newer leader has
//     kept of the older term lies below every position of its own.
//   - Only a server that proves to be the leader serves writes and reads without a staleness bound.
//   - Servers that leave get no new work.
package placement
