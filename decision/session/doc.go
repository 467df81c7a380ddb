// Package session keeps what one client session knows about its own writes: the floor below
// which no read may be answered, the token that carries the floor to another connection, and the
// notice of a lost write.
//
// Invariants:
//
//   - The floor never falls, except when a lost write is reported; that happens once per loss.
//   - A token given by the client stays unproven until a server has accepted it as a floor. An
//     unproven token that turns out invalid is dropped, and the floor before it is in force again.
//   - A floor of an older term is checked against the newer term's history before the session
//     writes in that term, since the newer position would otherwise hide a loss.
package session
