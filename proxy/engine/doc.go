// Invariants of the engine:
//
//   - A unit (a simple query, or a pipeline up to Sync) runs as one on one server. It runs again only
//     when it is proven not to have run, or may run twice and nothing of its answer has reached the
//     caller.
//   - The messages that acknowledge a write leave the process only after Database.Confirm.
//   - An upstream connection serves one session at a time. It is reused only when it is idle, outside a
//     transaction, unchanged in its settings and no cancel request for it is under way.
//   - Nothing that the caller sent at start-up reaches a server.
//   - An error that says "not run" is proven; whatever else failed is "outcome unknown".
package engine
