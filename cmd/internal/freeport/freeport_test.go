package freeport

import "testing"

// Guards against two listeners that get the same port, with which a process fails to start: the operating system reassigns
// a port once it is free. Allocators share no memory, as two processes don't.
func TestAddressesDiffer(t *testing.T) {
	seen := make(map[string]bool)
	processes := make([]allocator, 4)
	for n := range 2000 {
		address, err := processes[n%len(processes)].address()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("address %s was returned twice", address)
		}
		seen[address] = true
	}
}
