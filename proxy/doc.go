// Package proxy is the root of the drivers: PostgreSQL wire, upstream pools, peers and the
// daemon's assembly.
package proxy
