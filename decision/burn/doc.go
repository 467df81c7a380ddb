// Package burn counts good and bad statements per client account and route over sliding windows,
// and compares them with a service-level objective.
//
// Invariants:
//
//   - A window of length w that is read at time t holds every event of (t-w+w/30, t] and none
//     that is older than t-w: it is made of 30 buckets, and a whole bucket leaves at once.
//   - Memory is bounded: a tracker holds at most MaxSeries series of a fixed size. Events of
//     further accounts and routes are counted together in one more series, never dropped.
//   - A statement that was refused above its account's rate is counted, but is neither good nor
//     bad, so that an account that sends too much can't spend its own or another's budget.
//   - Merging adds counts and derives every ratio again, so the report of several instances
//     weighs each statement the same.
//
// The burn rate of a window is the share of bad statements divided by the share that the
// objective allows: at 1 the budget of 30 days lasts exactly 30 days.
package burn
