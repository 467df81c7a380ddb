// Package authority decides, for one database group as one instance sees it, which server is the
// primary, when to fence and promote, and when a write or a floor is proven by a majority.
//
// A Machine turns probe results into a View and into Probe, Fence, Promote and AskPeers actions. A
// Confirmations resolves waiters from the same probe results. Both do no I/O: the driver executes
// the actions and feeds the answers back. Times are durations since a monotonic origin. Clocks
// decide only when to act; every proof is based on probe sequence numbers and on server states.
//
// Rules that the servers of a group follow:
//
//   - A server accepts Fence(T, O) when T exceeds its term and its fence, or its fence is (T, O).
//     From then on it accepts no write and no replicated log of a term below T.
//   - A server accepts Promote(T, O) only when its fence is exactly (T, O) and it has received no log
//     of term T or above; a repeat by the same owner after success is accepted too.
//   - A server that begins to follow a primary of term T accepts no fence and no promotion of T or
//     below from then on, even after it has rewound its log to an older term. Otherwise a delayed
//     repeat of its own promotion would start its old term a second time, from a different log.
//   - A server reports term T only when its log contains the position at which T began.
//
// Invariants:
//
//   - An owner identifies one run of one process. An owner promotes at most one server in a term,
//     so a term has at most one primary.
//   - The promoted server has the highest (term, LSN) of a fenced majority, so it contains every
//     write confirmed in mode ModeMajority.
//   - A waiter is resolved only from probes whose sequence number was assigned after the waiter
//     arrived.
//   - A write of term T is confirmed only after a majority showed term T and no higher fence,
//     each in a probe sent after the write was answered.
//   - The judgements of other instances about a primary only affect when an attempt begins.
//   - A sampled floor is at or past every write confirmed before the sample began.
package authority
