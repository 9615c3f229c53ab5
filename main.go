// Weldfall is a router fleet between callers and language-model engines or
// plain services, on a pool that partners share.
package main

import (
	"os"

	"github.com/weldfall/weldfall/commands"
)

func main() {
	os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr))
}
