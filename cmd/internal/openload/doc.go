// Package openload offers operations of the users' kinds to instances at a rate that doesn't depend on the answers, over
// the line protocol, and measures what callers get: latencies from the moment at which an operation was due, refusals,
// unknown outcomes and the gap in acknowledged writes, each over time.
package openload
