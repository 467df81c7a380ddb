// Command cyclamenctl is the operators' tool of cyclamenstile; see package ctl.
package main

import (
	"os"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/ctl"
)

func main() {
	os.Exit(ctl.Main(ctl.NewRoot()))
}
