// Command cyclamenstile is the proxy daemon; see package serve.
package main

import (
	"os"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/serve"
)

func main() {
	os.Exit(serve.Main())
}
