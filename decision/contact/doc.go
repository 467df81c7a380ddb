// Package contact proves that an instance hears from a majority of the listed instances, with messages
// that stay small in large deployments.
//
// An instance hears from another one as of a time when a chain of answered calls, each made after the
// answer before it, begins at the other one at that time or later. Instances keep the latest such time,
// not the content of the calls:
//
//   - The list is split into about 64 groups of one failure domain each, by a hash of the names.
//   - For the members of its own group (its mates) an instance keeps a time for each of them.
//   - For each group it keeps two times: as of which a low and a high number of the group's members were
//     heard from. They are three quarters and fifteen sixteenths of the group, and exact numbers where
//     it is small.
//
// Every answer to a call carries the ages of these times; an answer to a mate also those of the mates.
//
// Invariants of Tracker:
//
//   - A time is never later than the event that it stands for. A received age counts from when the call
//     was sent, so pauses, delays and rounding only make it older. No time of another process is used,
//     only durations.
//   - An instance cut off with at most half of its list has no majority as of a time after the cut:
//     a group's count as of that time is at most the number of its members on this side, and groups
//     don't overlap.
//   - Ages of a group count only when both sides list the same members in it.
package contact
