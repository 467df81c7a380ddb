// Package session tracks the writes of one client session: the floor, which is the log position
// that every read has to include, the token that carries the floor to another connection, and the
// report of a lost write.
//
// Invariants:
//
//   - The floor is lowered only when a lost write is reported, which happens once per loss, or when
//     an invalid token is dropped.
//   - A token from the client is unproven until a server has accepted it as a floor. An unproven
//     token that turns out to be invalid is dropped, and the previous floor applies again.
//   - A floor of an older term is checked against the newer term's history before the session
//     writes in the newer term. Otherwise the position of the new write would hide a loss.
package session
