package manifest

// Invariants of Adoption, which decides what is in force on one instance:
//
//   - The version in force never goes down, whatever stale reads and late peers offer.
//   - A manifest is adopted whole, or not at all when it has any fault.
//   - Two different contents with one version are an error, never an adoption.
//   - Keyed work is allowed only for ContactTimeout after the last proof that no newer manifest
//     was missed: an answer of the store, or contact with a majority of the listed instances, by own
//     calls or through what peers have heard (package contact).
//   - Contact counts from the time the request was sent, so a pause of the process only
//     shortens the allowance.
