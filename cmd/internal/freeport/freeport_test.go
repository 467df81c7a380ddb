package freeport

import "testing"

// Guards against two listeners of a process that get the same port, with which the process fails to start: the
// operating system reassigns a port once it is free.
func TestAddressesDiffer(t *testing.T) {
	seen := make(map[string]bool)
	for range 2000 {
		address, err := Address()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("address %s was returned twice", address)
		}
		seen[address] = true
	}
}
