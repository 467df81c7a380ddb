// Package history checks recorded histories against the invariants I1 (sessions read their own
// writes), I2 (no unreported loss of acknowledged writes), I3 (results are not mixed up), I7 (admissions
// stay within the limit), I9 (a write refused as not run did not run) and I10 (no write runs twice).
//
// Each write appends a value that is unique in the whole run to a key, so the content of a key is
// the list of its values in order of execution. This reveals lost writes, writes that ran twice, and
// writes that ran although they were reported as not run.
//
// Invariants of the checker:
//
//   - A reported violation is a violation whatever the message delays were: times are measured by
//     the client, and an operation may have taken effect at any time between its request and its
//     answer.
//   - A write of unknown outcome may have run once or not at all.
//   - Events may come in any order; a write has at most one answer, apart from the report of its loss.
package history
