// Package coldstart limits the statements that a server gets while it is cold: slow because it has just started.
//
// In any one second a cold server gets at most Limit statements, summed over all instances. One second holds fewer
// statements than there are instances, so the limit is not divided among them: one instance, the lender, sends the
// statements of all. The others choose it by hash, and may choose differently for a moment.
//
// Invariants:
//
//   - Any window of one second holds at most as many sent statements of one Budget as the allowance says. With an
//     allowance below one, at most one statement is sent in its reciprocal in seconds.
//   - The allowances of lenders with different ranks in one list of candidates add up to less than Limit, however many act
//     at the same time. The lender of the first rank has half of it, so two instances that both believe to be that lender
//     stay within Limit too.
//   - The lenders of disjoint partitions share these parts, because an allowance is proportional to the fraction of the listed
//     instances that the lender reaches.
//   - A lender counts the second before it became one as full.
//   - Statements of open transactions get their turns in order of arrival and before new statements. A statement whose
//     turn is named, and that asks again then, is not refused because of statements that it doesn't have to yield to.
//   - Reading the same entry of a server again does not extend its cold period.
//
// Load: 24 servers, of which one database's may all be cold after a common start; 72 to 85 instances, 800 statements per second
// for all servers; limits of some ten statements per second. Later 2,100 instances, whose allowance is below one statement per
// second if they are cut off from each other.
package coldstart
