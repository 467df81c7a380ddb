// Package group drives the decisions about one database group: it probes the servers, fences and
// promotes, confirms writes and places reads. Group implements engine.Database.
//
// One goroutine owns the state machines of decision/authority and the placement of reads. Calls
// to servers run in goroutines of their own and post their answers to it, so a silent server
// holds up nothing else.
package group
