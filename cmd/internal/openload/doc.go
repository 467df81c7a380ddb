// Package openload is an open-loop load generator for the line protocol. It sends operations of the users' kinds to
// instances at a rate that is independent of the replies, and measures what callers experience over time: latencies from
// the time at which an operation was due, refusals, unknown outcomes and the gap in acknowledged writes.
package openload
