// Package directory holds the manifest in force on one instance and authenticates callers
// against it. It implements engine.Directory.
//
// Keyed work means logins and statements that are authenticated with a key.
//
// Invariants:
//
//   - Authenticate, Check and NeedsKey never call the store and never wait for it.
//   - If an adoption withdraws a login's key, account, route or right to the route, the login's
//     Withdrawn channel is closed before Offer returns.
//   - Keys are hashed on arrival and neither stored nor logged.
//   - An instance has one watch at the store at a time and, apart from adoptions, writes its
//     status once per StatusInterval.
//
// manifest.Adoption decides which manifest is adopted and whether keyed work is allowed.
package directory
