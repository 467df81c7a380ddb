// Package quota shares every client account's rate and burst between instances.
//
// A store record divides each account into 64 equal fractions with one holder each (Fractions).
// A holder uses its fractions itself or lends them for LoanTerm to the pool owner of the
// account's shard (Holder). The owner pools the fractions lent to it and grants whole tokens with
// a short lifetime (Owner). An instance with callers asks the owner for tokens ahead of demand
// and falls back to its own fractions (Requester). Shard joins the three for one shard.
//
// The bound: admissions of an account over all instances in any window w are at most
// burst + rate*w. It holds under pauses of any party, restarts, two owners, lost and late
// messages and differing instance lists, when every clock runs within half a percent of true
// time, so that two clocks differ by at most 1%.
//
// Invariants that the bound rests on:
//
//   - A fraction has one holder: the record changes by conditional update only, a holder stops
//     HoldTerm after it sent its last confirmed renewal, and others count a longer time from
//     when they first saw that renewal.
//   - A fraction is in one bucket at a time. The borrower stops LoanTerm after it sent its
//     request; the lender waits longer, from when it got the request, and for the lifetime of
//     tokens drawn at the end of the loan. Fractions are handed back early only when no token
//     drawn from them can be used any more.
//   - A bucket that gains a fraction gains no tokens except those that another bucket gave up.
//     A bucket that loses a fraction keeps at most its new capacity.
//   - Level and outstanding tokens of a pool together never exceed its capacity: a granted token
//     keeps its room until it is reported as used or unused, or has ended. Its lifetime counts
//     from when the requester sent its request.
//   - Unused tokens return only to the bucket that they were drawn from, and only while that
//     bucket still reserves room for them and has lost no fraction since.
//
// Proof. Let V be the level of one bucket with the account's whole rate and burst that pays for
// every statement when it is admitted; the bound holds if V never falls below 0. Let P be the sum
// of the levels of all buckets, O the number of tokens that can still be used, and R the room
// reserved for them, fractions in transit between two buckets counting as room. Then
// P + O <= V, O <= R and P + R <= burst hold at all times:
//
//   - A grant moves tokens from P to O and to R. An admission by a token takes one from O and V,
//     one by a holder's own fractions takes one from P and V.
//   - The refill raises P at most at the rate of V. When V is full, P + O <= P + R <= burst = V.
//   - An unused token leaves O before its room leaves R, and may then enter P in that room: as
//     long as R has kept it, V exceeded P + O by it.
//   - Fractions that change their bucket leave no token behind that can be used, or are in transit
//     until the last one has ended. They take at most their part of the capacity along.
//
// So V >= P + O >= 0. When limits change, the proof holds with the largest limits in force, and
// with the new ones alone as soon as the last instance has them and tokens of before have ended.
//
// Entitlement: an account gets its rate, less half a percent for fast clocks, through one instance
// or many, and its burst less the tokens that lie at other instances. Stocks hold at most stockPart
// of the burst; an account whose burst is too small for a token in stock everywhere has none, and
// its statements wait for the owner. Buckets start empty, also after a fraction changed its holder.
package quota
