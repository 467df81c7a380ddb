// Package peer implements communication between instances over drpc: a server for the calls of
// other instances, a client with pooled connections, and the set of peers with its heartbeat.
//
// A peer is identified by its peer address (IP:port). A call that fails may have taken effect; the
// only call that this package retries is Gossip.
package peer
