// Package platformlocal runs a deployment on the stand-in of the users' platform: the store with the promotion service
// and databases of three servers in this process, the instances in this process too or as processes of their own. All
// of it is on loopback, with a relay in front of each server and between each instance and the store, at which faults are injected. Demo,
// bench and soak use it.
package platformlocal
