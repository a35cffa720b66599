package verbs

import (
	"fmt"
	"runtime"
)

// Number is the version of this release.
const Number = "0.1.0"

type versionVerb struct {
	s streams
}

// Execute prints the version and the toolchain.
func (v *versionVerb) Execute([]string) error {
	fmt.Fprintf(v.s.out, "cicadahall %s %s\n", Number, runtime.Version())
	return nil
}
