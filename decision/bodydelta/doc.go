// Package bodydelta encodes the difference between two versions of an object's body.
//
// Load: a configuration of 50 to 350 KB changes a few times an hour, usually in a handful of list elements, and every
// change goes to each instance of a region through one link of 10 Mbit/s or more. A difference is a few hundred bytes.
//
// It is a list of byte ranges to copy from the earlier body and of new bytes, so that it reproduces any body exactly, also
// one whose list elements were reordered. Differences by list element would have to reproduce the spelling of the JSON.
//
// Invariants:
//
//   - Apply(from, New(from, to)) is to, byte for byte.
//   - Apply returns no body whose SHA-256 differs from the announced one.
//   - Apply allocates at most its limit, whatever it is given.
//   - New indexes at most maxBlocks blocks, some 100 KB.
package bodydelta
