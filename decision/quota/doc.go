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
//     request; the lender waits longer, from when it got the request.
//   - A bucket that gains a fraction gains no tokens except those that another bucket gave up.
//     A bucket that loses a fraction keeps at most its new capacity. So the levels of an
//     account's buckets together never exceed the level of one bucket for the whole account.
//   - A token is used at most its lifetime after it was drawn, since the lifetime counts from
//     when the requester sent its request. Capacities are lowered by rate times lifetime, so the
//     delay between draw and use can't add to a window.
//   - Unused tokens return only to the bucket that they were drawn from, and only while that
//     bucket still reserves room for them; it never refills the room that is reserved.
//
// Entitlement: an account gets its rate, less half a percent for fast clocks, through one instance
// or many. What it can lose beyond that is tokens that lie at instances without use, which return,
// and the first statements at an instance that is far from the owner: callers wait a few
// milliseconds only, so until the first grant is back they get what the instance's own fractions
// have. Buckets start empty, also after a fraction changed its holder.
//
// An account needs a burst of at least 2 and should have a burst of at least 0.4 s of its rate:
// with less, the token lifetime shrinks below 200 ms and grants reach only nearby instances.
package quota
