// Package contact proves that an instance hears from a majority of the listed instances, with messages
// that stay small in large deployments.
//
// Instance A has heard from instance B as of time T if a chain of answered calls leads from B to A: the
// first answer was made by B at T or later, and each further answer after the one before it. Instances
// keep the latest such time and not the content of the calls:
//
//   - The list is split into about 64 groups by a hash of the instance names. All members of a group are
//     in the same failure domain.
//   - An instance keeps one time for each member of its own group.
//   - For each group it keeps two times: as of when a low and a high number of its members were heard
//     from. These are about three quarters and fifteen sixteenths of the group; the high number
//     of a group with fewer than 16 members is all of them.
//
// Every answer to a call carries the ages of the group times. An answer to a caller of the same group also
// carries the ages of the member times.
//
// Invariants of Tracker:
//
//   - A recorded time is never later than the event it stands for. A received age is subtracted from the
//     time when the call was sent, so pauses, delays and rounding only make it older. Only durations are
//     taken from other processes, never clock readings.
//   - An instance in a partition with at most half of its list has no majority as of a time after the
//     partition began: a group's count as of that time is at most the number of its members on this side,
//     and groups don't overlap.
//   - Ages of a group are used only if both sides list the same members in it.
package contact
