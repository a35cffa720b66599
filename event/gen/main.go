// Command gen writes the event catalogue to the file given as its argument.
package main

import (
	"fmt"
	"os"

	"github.com/cicadahall/cicadahall/event"
)

func main() {
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "gen:", err)
		os.Exit(1)
	}
}

func run(file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := event.WriteCatalogue(f); err != nil {
		return err
	}
	return f.Close()
}
