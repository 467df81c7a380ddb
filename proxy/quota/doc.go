// Package quota admits statements against the limits that count over all instances. It drives
// the machines of decision/quota with calls between peers and the platform's store.
//
// Admit touches one mutex per account shard and no network while tokens are there. Fractions are
// kept in the store by one goroutine; no admission calls the store.
package quota
