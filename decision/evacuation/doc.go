// Package evacuation decides what a server in an evacuated failure domain may still get, and when an evacuation holds
// everywhere.
//
// Invariants:
//
//   - A server in an evacuated domain gets nothing new, from the moment at which the instance learns of the evacuation.
//   - A transaction that is open there may finish until TransactionFraction of the bound has passed since then. Repeated
//     reads and later versions of the same evacuation, such as its acknowledgement, don't extend this time.
//   - An evacuation counts as in force only if every instance that is not lost has applied it, in its present version or a
//     later one, and sees no primary there that could be replaced.
//
// Load: some six failure domains, of which at most a few are evacuated; a check for each statement.
package evacuation
