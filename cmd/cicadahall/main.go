// Command cicadahall runs a node of the load balancer and the commands for
// operators.
package main

import (
	"os"

	"github.com/cicadahall/cicadahall/internal/cmd/verbs"
)

func main() {
	os.Exit(verbs.Main(os.Args[1:], os.Stdout, os.Stderr))
}
