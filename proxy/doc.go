// Package proxy contains the I/O side of an instance: the PostgreSQL wire protocol, upstream
// connection pools, communication between peers and the daemon that connects them.
package proxy
