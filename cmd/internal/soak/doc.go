// Package soak runs the real programs as separate processes on one machine, injects faults from outside them, and checks
// what callers and databases see while it runs: loopback proxies cut, delay and silence connections to the store and to
// servers, signals stop, pause, kill and restart instances, and the store forgets its history.
//
// Promises checked:
//
//   - A session, and a strict read through any instance, sees every acknowledged write of its item.
//   - A write takes effect once at most, and never after its caller was told that nothing is kept.
//   - Statements run for the account that holds the key, and not once a withdrawn key has had its time.
//   - No account gets more than its rate and burst within the operator's tolerance.
//   - After the last fault, callers are served again.
//
// A run is named by its seed. Processes are ended by their ids only.
package soak
