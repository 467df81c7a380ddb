// Package history checks recorded histories against the invariants I1, I2, I3, I7, I9 and I10.
//
// A history is made by appending a value that is unique in the whole run to a key, so a key's
// content is a list of values in the order of their execution. This shows a lost write, a write
// that ran twice, and a write that ran although it was reported as not run.
//
// Invariants of the checker:
//
//   - A reported violation is one under every possible delay of messages: times are those of the
//     client, and an operation may have taken effect at any moment between its sending and its
//     answer.
//   - A write of unknown outcome may have run once or not at all.
//   - Events may come in any order; a write has at most one answer besides the report of its loss.
package history
