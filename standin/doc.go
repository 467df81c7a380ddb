// Package standin is the parent of the stand-ins for the platform's services: the object store, a
// database group and the network between them. Tests, the demo and the benchmarks run against them.
package standin
