// Package leaderlease decides which server an instance may use as the leader of a database where a promotion alone doesn't protect what
// the former primary answers: it commits until it is told to step down, or its commits are acknowledged by replicas (copies) and have to be
// in the log of each server that leads later.
//
// A claim in the store names the server that is to lead a database. It is written before its promotion is ordered.
//
// Invariant: no answer of a server is acknowledged that it gave as the leader after the promotion of another one was ordered by a
// later claim. It holds by the following rules.
//
// Who may acknowledge (Leases): an instance acknowledges an answer that only a leader may give if, once the answer has arrived,
//
//   - the newest claim that it knows of the database allows the server, for the same lead as when the statement was sent,
//   - the store has shown it that there was no newer claim less than Term ago, and
//   - this was after the instance had entered the list of instances in this run of its process, and its entry was in a list that is
//     younger than ListedTerm.
//
// A reply of the store shows this as of the time when its call was sent, and an empty reply to a watch as of the end of the wait
// that was asked for.
//
// The check follows the answer. One before a statement is sent only saves work, since the statement may wait at the server. The lead
// tells a server that was replaced and claimed again in the meantime, whose answer may be from in between.
//
// When a promotion may be ordered (Withdrawal): the claim was written, and afterwards one of these was seen:
//
//   - each server that an instance may still use, other than the successor, has confirmed that it has stepped down, and none of them
//     can be leading later by an order that is under way;
//   - each instance of the list, read after the claim was written, has acknowledged that it knows the claim;
//   - WithdrawalTerm has passed.
//
// Suppose an instance acknowledges an answer of a server that the claim of a later promotion doesn't allow. If the server had
// stepped down, its answer was earlier than that. If all listed instances had acknowledged the claim, this one is not among
// them, so it entered the list after the claim was written; its evidence is still later and shows the claim. If WithdrawalTerm had
// passed, evidence without the claim was sent before the claim was written, and is older than Term. So the answer was given
// before the promotion was ordered.
//
// The claim is written again without its former servers before the promotion is ordered. A claim that nobody carries out keeps them
// and leaves them unused; the next claim takes them over, so that their leases are withdrawn before another server is promoted. After
// an order without an answer the same server is claimed again as long as it answers. An order that the platform carries out after a
// later one of another server is covered only where the platform checks fences.
//
// Late orders on a platform that checks fences. An order without an answer may be carried out at any later moment. Invariant: every
// acknowledged commit is in the log of every server that leads later.
//
//   - A successor is checked after the withdrawal, see package succession: it has all that was acknowledged before, and of the other servers
//     nothing is acknowledged from then on. So its order does no harm, however late, until another server is claimed.
//   - As long as an order has no answer, its server is claimed and ordered again, unless its log is shorter than when it was checked
//     (Received). It is the only one that may be used, so the former primary isn't, although it may be back, and replicas may have started or ended their pause.
//   - A claim of another server is unconfirmed while an earlier order may be carried out: its server isn't used either. The platform has
//     seen the fence of that claim once it has accepted its order, and refuses all earlier ones. An order that was accepted before takes effect
//     within failover.EffectTerm, after which the claim is confirmed. A refusal proves nothing: the platform may not have recorded the fence.
//   - The order of an unconfirmed claim names a server that doesn't lead, as a promotion of the present primary changes nothing and an
//     accepted one of another server may be about to take effect.
//   - A server that has stepped down may lead again by an order without an answer. Its stepping down then is no basis, and a hand-over
//     doesn't leave it in use.
//   - Who claims reads the state from the last claim: whether its order was accepted (Answered). A claim of a build without these rules,
//     or of a store that came back from a copy, counts as not answered.
//
// The platform's longest delay is not used. EffectTerm is assumed: the pages say "some hundred milliseconds". Where fences aren't checked no
// answer makes an earlier order void, and package failover waits for a time that it assumes.
//
// A planned hand-over allows the former primary beside its successor, until it has confirmed that it has stepped down; only then
// the promotion is ordered.
//
// An instance that was down, cut off, frozen or slow while others were told needs no message: its evidence has become too old,
// or shows the claim. An entry is taken off the list only after this was announced in it for longer than ListedTerm, so that an
// instance which is not told has noticed, or has evidence that is too old. Two processes with one name and address at a time are not
// covered. A store that came back from a copy without a claim is covered for instances that know the claim.
//
// Durations are measured on one clock of one machine, which advances while the machine is suspended; WithdrawalTerm exceeds Term by a
// tenth for clocks of different rates. Times of day are not used.
//
// Load: one claim a database, which changes with promotions only; a check compares two strings and a duration.
package leaderlease
