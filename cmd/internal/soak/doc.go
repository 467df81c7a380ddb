// Package soak runs the real programs as separate processes on one machine, injects external faults, and checks what
// callers and databases observe. Relays on loopback cut, delay and silence connections to the store and to servers,
// signals stop, pause, kill and restart instances, the store discards its history, and failure domains are evacuated.
//
// Guarantees checked:
//
//   - A session, and a strict read through any instance, sees every acknowledged write of an item.
//   - A write takes effect at most once, and never if the reply to its caller states that it has no effect.
//   - Statements run for the account of the key, and none run with a key later than the withdrawal limit after its
//     withdrawal.
//   - No account exceeds its rate and burst beyond the operator's tolerance.
//   - No statement reaches a server in an evacuated failure domain later than the bound, while no fault keeps instances from
//     the store or holds back what they have sent.
//   - A cold server gets no more statements in any second than the operator's tolerance allows.
//   - No write or commit is acknowledged that a former primary executed after its successor was promoted.
//   - After the last fault, callers are served again.
//
// A run is identified by its seed. Only processes that the run started are signaled.
package soak
