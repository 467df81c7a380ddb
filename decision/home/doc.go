// Package home decides where a request that is bound to regions may run, and in which regions the primary of a
// database belongs. A route and an account may each name regions; both bind.
//
// Invariants:
//
//   - A server in a region that is not allowed never runs the request. A server without a known region is allowed
//     only to requests that are not bound.
//   - Regions of the route and of the account that have nothing in common allow nothing; they don't allow everything.
//   - A request is refused at once exactly if no server that could run it is at home or takes work. While the
//     primary is not known, a server at home may still turn out to be it.
//   - A primary is moved only into the common regions of its database's routes, and only if a server there may take
//     over: one that is neither leaving, nor evacuated, nor warming up.
//
// Load: each statement of a bound route or account, some hundred per second at an instance, with three to ten servers
// of a database. Requests that are not bound cost one comparison.
package home
