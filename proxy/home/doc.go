// Package home gives every server one home instance that holds its connections, slots and queue.
// Other instances check a connection out of the home over a drpc stream.
//
// The choice of the home needs no agreement: two homes during a change of the instance list only
// mean that the server's own connection limit refuses the excess, which proves "not run".
package home
