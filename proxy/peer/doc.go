// Package peer carries messages between instances over drpc: a server for the calls of other
// instances, a client with kept connections, and the set of peers with its heartbeat.
//
// A peer is named by its peer address (IP:port). A call that fails may have taken effect; only
// Gossip and FetchManifest are repeated by this package.
package peer
