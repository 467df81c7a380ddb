// Package decision is the root of the deterministic state machines of cyclamenstile.
//
// The packages below it make decisions and perform no I/O. Invariants that hold for all of them:
//
//   - No goroutine, socket, file, log, clock or global random source. Time is passed in, and
//     randomness comes from a *rand.Rand passed to the constructor.
//   - Equal inputs in equal order give equal outputs, so a failing run can be replayed from its seed.
//   - A state machine is not safe for concurrent use; its driver serialises the calls.
//   - Nothing depends on PostgreSQL, HTTP or drpc; adapters outside these packages do the translation.
package decision
