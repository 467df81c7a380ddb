// Package burn counts good and bad statements per client account and route over sliding windows,
// and compares them with a service-level objective.
//
// Invariants:
//
//   - A window of length w that is read at time t holds every event of (t-w+w/30, t] and none
//     that is older than t-w. It consists of 30 buckets, each of which expires as a whole.
//   - Memory is bounded: a tracker holds at most a fixed number of series (see NewTracker), each of a
//     fixed size. Events of further accounts and routes are counted in one additional series, never
//     dropped.
//   - A statement that was refused above its account's rate is counted as neither good nor bad, so
//     that an account that exceeds its rate can't spend its own or another account's budget.
//   - Merge adds up counts and recomputes every ratio, so each statement has the same weight in the
//     report of several instances.
//
// The burn rate of a window is the fraction of bad statements divided by the fraction that the
// objective allows. At 1 the error budget of 30 days lasts exactly 30 days.
package burn
