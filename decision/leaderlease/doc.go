// Package leaderlease decides which server an instance may use as the leader of a database where a promotion doesn't end the
// lead of the former primary: there it commits until it is told to step down.
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
// later one of another server is not covered: leases can't prevent this.
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
