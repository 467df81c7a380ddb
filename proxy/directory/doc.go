// Package directory keeps the manifest in force on one instance and authenticates callers
// against it. It implements engine.Directory.
//
// Invariants:
//
//   - Authenticate, Check and NeedsKey never call the store and never wait for it.
//   - A login's Withdrawn channel is closed before Offer returns from the adoption that took
//     its key, account, route or right away.
//   - Keys are hashed on arrival and neither kept nor logged.
//   - The store sees one watch at a time and, apart from adoptions, one status write per
//     StatusInterval.
//
// What is adopted and whether keyed work may go on is decided by manifest.Adoption.
package directory
