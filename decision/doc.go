// Package decision is the root of the pure state machines of cyclamenstile.
//
// Every package below it decides and none carries bytes. Invariants that hold for all of them:
//
//   - No goroutine, socket, file, log, clock or global random source. Time is passed in, and
//     randomness comes from a *rand.Rand given at construction.
//   - Equal inputs in equal order give equal outputs, so a failing run is replayed from its seed.
//   - A machine is not safe for concurrent use; its driver serialises the calls.
//   - Nothing assumes PostgreSQL, HTTP or drpc: adapters translate at the edges.
package decision
