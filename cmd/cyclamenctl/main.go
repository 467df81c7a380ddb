// Command cyclamenctl is assembled in the packages of this workspace.
package main

func main() {}
