package freeport

import "testing"

// TestAddressesDiffer guards against two listeners of a process that get the same port, which ends the
// process at its start: the operating system gives a port out again once it is free.
func TestAddressesDiffer(t *testing.T) {
	seen := make(map[string]bool)
	for range 2000 {
		address, err := Address()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("the address %s was returned twice", address)
		}
		seen[address] = true
	}
}
