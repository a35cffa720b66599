package verbs

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/internal/spec"
)

const checkHelp = `Checks manifests and settings without applying them and lists all faults with file, line, column and path.
Without --kind, the kind of each file is detected from its fields. Exit codes: 0 all files are valid, 1 a file is invalid or could not be read, 2 usage error.

Example: cicadahall check examples/montevideo/manifest.json`

type checkCommand struct {
	Kind   string `long:"kind" choice:"manifest" choice:"settings" description:"kind of the files"`
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"output format"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`

	streams streams
}

// checkResult is the result for one file.
type checkResult struct {
	File   string        `json:"file"`
	Kind   spec.FileKind `json:"kind"`
	Faults spec.Errors   `json:"faults"`
}

// Execute checks all files, even if one has faults.
func (v *checkCommand) Execute([]string) error {
	results := make([]checkResult, 0, len(v.Args.Files))
	faults := 0
	for _, f := range v.Args.Files {
		r, err := v.check(f)
		if err != nil {
			return failure{code: exitFailed, err: err}
		}
		faults += len(r.Faults)
		results = append(results, r)
	}
	if err := v.print(results); err != nil {
		return failure{code: exitFailed, err: err}
	}
	if faults > 0 {
		return failure{code: exitFailed, err: fmt.Errorf("faults found: %d", faults)}
	}
	return nil
}

func (v *checkCommand) check(file string) (checkResult, error) {
	body, err := readLimited(file)
	if err != nil {
		return checkResult{}, err
	}
	r := checkResult{File: file, Kind: spec.FileKind(v.Kind), Faults: spec.Errors{}}
	if r.Kind == "" {
		r.Kind = spec.DetectKind(body)
	}
	errors.As(r.Kind.Check(file, body), &r.Faults)
	return r, nil
}

func (v *checkCommand) print(results []checkResult) error {
	if v.Output == "json" {
		e := json.NewEncoder(v.streams.out)
		e.SetIndent("", "  ")
		return e.Encode(results)
	}
	for _, r := range results {
		for _, f := range r.Faults {
			fmt.Fprintln(v.streams.out, f.Error())
		}
		if len(r.Faults) == 0 {
			fmt.Fprintf(v.streams.out, "%s: valid %s\n", r.File, r.Kind)
		}
	}
	return nil
}

// readLimited reads at most one byte more than the size limit of a manifest, so
// that the parser reports a file that is too large.
func readLimited(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, oops.Wrapf(err, "read file")
	}
	defer f.Close() //nolint:errcheck // nothing was written
	body, err := io.ReadAll(io.LimitReader(f, spec.MaxManifestBytes+1))
	if err != nil {
		return nil, oops.Wrapf(err, "read %s", file)
	}
	return body, nil
}
