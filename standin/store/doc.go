// Package store is a stand-in for the platform's object store: the HTTP interface that package
// httpstore speaks, kept in memory, with hooks that make it fail in the ways the platform does.
//
// Invariants:
//
//   - The revision grows by one with every put and delete, and never goes down.
//   - A put or delete takes effect only if its condition holds at that moment.
//   - A watch returns the newest state of every object under its prefix that changed after the
//     given revision, deletions included; several changes of one object come as one.
package store
