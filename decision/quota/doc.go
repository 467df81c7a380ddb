// Package quota shares every client account's rate and burst between instances.
//
// The store divides each account into 64 equal fractions with one holder each (ClaimManager,
// AssignmentManager). A holder uses its fractions itself or lends them for LoanTerm to the pool
// owner of the account's shard (Holder). The owner pools the fractions lent to it and grants whole
// tokens with a short lifetime (Owner). An instance with callers requests tokens from the owner
// ahead of demand and falls back to its own fractions (Requester). Shard combines the three for one
// shard.
//
// The bound: admissions of an account over all instances in any window w are at most burst +
// rate*w. It holds under pauses of any process, restarts, two owners, lost and late messages and
// differing instance lists, provided every clock runs within half a percent of true time, so that
// two clocks differ by at most 1%.
//
// Invariants that the bound rests on:
//
//   - A fraction has one holder: the store object changes by conditional update only, a holder of
//     claims stops HoldTerm after it sent its last confirmed renewal, and others wait longer than
//     that from when they first saw the renewal.
//   - A fraction is in one bucket at a time. The borrower stops LoanTerm after it sent its
//     request; the lender waits longer, from when it received the request, and for the lifetime of
//     tokens drawn at the end of the loan. Fractions are handed back early only when no token
//     drawn from them can be used any more.
//   - A bucket that gains a fraction gains no tokens except those removed from another bucket. A
//     bucket that loses a fraction keeps at most its new capacity.
//   - The level and the outstanding tokens of a pool together never exceed its capacity: capacity
//     stays reserved for a granted token until it is reported as used or unused, or has expired.
//     Its lifetime counts from when the requester sent its request.
//   - Unused tokens return only to the bucket that they were drawn from, and only while that
//     bucket still reserves capacity for them and has lost no fraction since.
//
// Proof. Let V be the level of a single bucket with the account's whole rate and burst that is
// charged for every statement when it is admitted; the bound holds if V never falls below 0. Let P
// be the sum of the levels of all buckets, O the number of tokens that can still be used, and R the
// capacity reserved for them, including the capacity of fractions in transit between two buckets.
// Then P + O <= V, O <= R and P + R <= burst hold at all times:
//
//   - A grant moves tokens from P to O and to R. An admission by a granted token takes one from O
//     and V, one by a holder's own fractions takes one from P and V.
//   - The refill raises P at most at the rate of V. When V is full, P + O <= P + R <= burst = V.
//   - An unused token leaves O before its reservation leaves R, and may then enter P in the
//     capacity that was reserved for it: while R included it, V exceeded P + O by that token.
//   - Fractions that move to another bucket leave no usable token behind, or count as in transit
//     until the last such token has expired. They carry at most their share of the capacity.
//
// So V >= P + O >= 0. When limits change, the proof holds with the largest limits in force, and
// with the new ones alone once the last instance has them and tokens granted under earlier ones
// have expired.
//
// Entitlement: an account gets its rate, less half a percent for fast clocks, through one instance
// or many, and its burst less the tokens held by other instances. All stocks of prefetched tokens
// hold at most stockPart of the burst. An account whose burst is too small for one token in stock
// at every instance has no stock, and its statements wait for the owner. Buckets start empty, also
// after a fraction has changed its holder.
package quota
