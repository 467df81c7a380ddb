// Invariants of the engine:
//
//   - A unit (a simple query, or a pipeline up to Sync) runs as a whole on one server. It runs again only
//     if it is proven not to have run, or if it may run twice and no part of its answer has reached the
//     caller.
//   - The messages that acknowledge a write are sent only after Database.Confirm.
//   - An upstream connection serves one session at a time. It is reused only if it is idle, outside a
//     transaction, with unchanged settings and without a pending cancel request.
//   - Nothing that the caller sent at start-up is forwarded to a server.
//   - An error says "not run" only if that is proven; every other failure is "outcome unknown".
package engine
