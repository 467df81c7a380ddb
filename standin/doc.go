// Package standin is the root of the small stand-ins for what the platform gives: the object
// store and a database group. They serve tests, the demo and the bench.
package standin
