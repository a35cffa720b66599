package verbs

import (
	"encoding/json"
	"fmt"
	"runtime"
)

// Number is the version of this release.
const Number = "0.1.0"

type versionVerb struct {
	s      streams
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the result"`
}

// release is the result of the verb.
type release struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Execute prints the version and the toolchain.
func (v *versionVerb) Execute([]string) error {
	r := release{Version: Number, Go: runtime.Version()}
	if v.Output == "json" {
		return json.NewEncoder(v.s.out).Encode(r)
	}
	fmt.Fprintf(v.s.out, "cicadahall %s %s\n", r.Version, r.Go)
	return nil
}
