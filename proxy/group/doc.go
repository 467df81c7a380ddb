// Package group manages one database group: it probes the servers, fences and promotes them,
// confirms writes and chooses servers for reads. Group implements engine.Database.
//
// A single goroutine, the owner, runs the state machines of decision/authority and assigns waiting
// reads to servers. Calls to servers run in their own goroutines and post their results to the
// owner, so an unresponsive server blocks nothing else.
package group
