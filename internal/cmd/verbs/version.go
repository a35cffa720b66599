package verbs

import (
	"encoding/json"
	"fmt"
	"runtime"
)

// Version is the version of this release.
const Version = "0.1.0"

type versionCommand struct {
	streams streams
	Output  string `long:"output" choice:"text" choice:"json" default:"text" description:"output format"`
}

// versionResult is the result of the version command.
type versionResult struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Execute prints the version of the release and of the Go toolchain.
func (v *versionCommand) Execute([]string) error {
	r := versionResult{Version: Version, Go: runtime.Version()}
	if v.Output == "json" {
		return json.NewEncoder(v.streams.out).Encode(r)
	}
	fmt.Fprintf(v.streams.out, "cicadahall %s %s\n", r.Version, r.Go)
	return nil
}
