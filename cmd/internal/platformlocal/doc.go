// Package platformlocal runs a deployment on the stand-in of the users' platform. The store with the promotion service
// and the databases of three servers run in this process, the instances in this process or in processes of their own.
// Everything is on loopback. Relays in front of each server and between each instance and the store inject faults. The
// demo, the benchmarks and the soak test use it.
package platformlocal
