// Package succession decides which server of a database may be promoted.
//
// Where commits are acknowledged only once a number of replicas, the copies, has received them, no acknowledged commit may be missing
// in the log of a server that is promoted.
//
// Invariant: a chosen server has received every commit that was acknowledged before the former primary's lead ended, if the answers
// were given after that. It holds by the following rules.
//
//   - A replica receives commits in the order of the log. So of two logs of one term the longer one has all of the shorter one, and a
//     log that ends in a later term has all acknowledged commits of the earlier ones, as its primary was chosen by these rules.
//   - If fewer replicas than copies have not answered, each acknowledged commit is in a log that was told of, so in the longest one.
//   - What the former primary had when it stepped down has all acknowledged commits, too.
//   - A server that is busy, silent or unreadable has not answered: what it has received is not known, which is not the same as nothing.
//   - Neither has a server that started again and holds less than it acknowledged. Its answer counts again once its log has reached what
//     the leader had after the restart was seen, as that covers all it had acknowledged before; see Logs.
//   - Nothing is known while the list may lack servers whose entries return, as they expired while the store was down.
//
// A replica counts as long as it is in the list of servers, whether or not it may be promoted itself. One whose entry is gone doesn't: the
// platform says that such a server is gone, with its log. Once the former primary's entry is gone, too, nobody can have what a server
// lost by a restart, and its answer counts as it is. If only servers that may not be promoted have all acknowledged commits, because
// they leave or their failure domain is evacuated, one of them is promoted and hands over.
//
// When the lead ends is the caller's to know. An answer from before still helps to choose, and must be followed by a check of the chosen
// server with answers from after it.
//
// The lead ends for callers when no instance acknowledges answers of the former primary any more, see package leaderlease, which also
// covers orders that are carried out late. A former primary that nobody reaches may answer all the same, to clients that bypass the
// instances, or through builds without leases. Therefore every replica but the successor is paused before the order as well, except fewer than copies: what is
// answered from then on has been received by copies replicas that are not paused, so by the successor. This is no guard by itself, as a
// replica that starts is not paused. A replica stays paused until the promotion, or is resumed once its order can't be carried out.
//
// Where the platform doesn't check fences, no other server is promoted while an order without an answer may be carried out: it would end a
// lead in which commits were acknowledged that the server of the late order lacks.
//
// Without copies a failover can lose acknowledged commits. The server that has received the most then is the best one of those that have
// answered; there is nothing to wait for.
//
// Load: a database has a few servers, which are asked at each promotion only.
package succession
