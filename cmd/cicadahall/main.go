// Command cicadahall is the load balancer's node and the operators' commands.
package main

import (
	"os"

	"github.com/cicadahall/cicadahall/internal/cmd/verbs"
)

func main() {
	os.Exit(verbs.Main(os.Args[1:], os.Stdout, os.Stderr))
}
