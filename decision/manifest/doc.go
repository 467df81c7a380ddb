package manifest

// Invariants of Adoption, which decides which manifest is in force on one instance:
//
//   - The version in force never decreases, even after stale reads or answers from peers that lag behind.
//   - A manifest is adopted as a whole; one with any fault is rejected.
//   - Different content under the version in force is an error and is not adopted.
//   - Keyed work (work of clients that authenticated with a key) is allowed only for ContactTimeout
//     after the last proof that no newer manifest was missed. The proof is an answer of the store, or
//     contact with a majority of the listed instances, either by calls of this instance or through
//     contacts that peers report (package contact).
//   - A contact dates from the time its request was sent, so a pause of the process can only shorten
//     the time for which keyed work is allowed.
