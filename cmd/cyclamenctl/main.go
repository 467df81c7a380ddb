// Command cyclamenctl is the operators' tool of cyclamenstile; see package ctl.
package main

import (
	"os"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/benchcmd"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/ctl"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/demo"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/soak"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/standincmd"
)

func main() {
	os.Exit(ctl.Main(ctl.NewRoot(benchcmd.New(), demo.NewCommand(), standincmd.New(), soak.NewCommand())))
}
