// Package store is an in-memory stand-in for the platform's object store. It implements the HTTP API
// that package httpstore uses and injects the faults that the platform's store shows.
//
// Invariants:
//
//   - The revision grows by one with every put and delete, and never decreases.
//   - A put or delete takes effect only if its condition holds at that moment.
//   - A watch returns the newest state of every object under its prefix that changed after the
//     given revision, including deletions; several changes of one object are reported as one.
package store
