// Command cyclamenstile is assembled in the packages of this workspace.
package main

func main() {}
