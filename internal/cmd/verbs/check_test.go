package verbs_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/cmd/verbs"
)

func ExampleMain() {
	code := verbs.Main([]string{"check", "testdata/wrong-unit.json"}, os.Stdout, os.Stdout)
	fmt.Println("exit code", code)
	// Output:
	// testdata/wrong-unit.json:14:18: services[0].timeout: write a duration with a unit, such as "2s" (units: ns, us, ms, s, m, h)
	// cicadahall: faults found: 1
	// exit code 1
}

func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = verbs.Main(args, &o, &e)
	return code, o.String(), e.String()
}

// Guards against a faulty manifest that a pipeline accepts as valid, and against
// a fault reported at the wrong position.
func TestCheckBrokenManifests(t *testing.T) {
	for _, c := range []struct {
		file, path string
		line       int
	}{
		{"unknown-field", "services[0].time", 14},
		{"wrong-type", "services[0].version", 13},
		{"wrong-unit", "services[0].timeout", 14},
		{"missing-field", "domains[1].name", 6},
		{"unknown-service", "moves[0].service", 30},
		{"duplicate-name", "services[1].name", 21},
		{"early-deadline", "moves[0].deadline", 34},
		{"late-stage", "moves[0].stages[2].after", 38},
		{"two-moves", "moves[0].start", 28},
		{"trailing-text", "", 45},
	} {
		file := "testdata/" + c.file + ".json"
		code, out, errOut := run("check", "--kind", "manifest", "--output", "json", file)
		assert.Equal(t, code, 1, c.file)
		assert.Equal(t, errOut, "cicadahall: faults found: 1\n", out)
		var got []struct {
			File, Kind string
			Faults     []struct {
				File, Path, Text string
				Line, Column     int
			}
		}
		assert.NilError(t, json.Unmarshal([]byte(out), &got))
		assert.Equal(t, len(got), 1)
		f := got[0].Faults[0]
		assert.Equal(t, fmt.Sprintf("%s:%d %s", f.File, f.Line, f.Path), fmt.Sprintf("%s:%d %s", file, c.line, c.path))
	}
}

// Guards against settings that are checked as a manifest, and against files that
// aren't checked because an earlier one has a fault.
func TestCheckSeveralFiles(t *testing.T) {
	const dir = "../../../examples/montevideo/"
	code, out, _ := run("check", dir+"manifest.json", dir+"counter-1.json")
	assert.Equal(t, code, 0)
	assert.Equal(t, out, dir+"manifest.json: valid manifest\n"+dir+"counter-1.json: valid settings\n")
	code, out, _ = run("check", "testdata/wrong-type.json", dir+"manifest.json", "testdata/wrong-unit.json")
	assert.Equal(t, code, 1)
	assert.Equal(t, strings.Count(out, "\n"), 3, out)
	code, _, _ = run("check", "--kind", "settings", dir+"manifest.json")
	assert.Equal(t, code, 1)
}

// Guards against a wrong command line or a missing file after which a pipeline
// continues as if the manifest were valid.
func TestCheckUsage(t *testing.T) {
	for _, args := range [][]string{
		{"check"},
		{"check", "--kind", "manual", "x"},
		{"check", "--colour", "x"},
	} {
		code, _, errOut := run(args...)
		assert.Equal(t, code, 2, "%v", args)
		assert.Assert(t, errOut != "")
	}
	code, _, errOut := run("check", "testdata/none.json")
	assert.Equal(t, code, 1)
	assert.Assert(t, strings.Contains(errOut, "testdata/none.json"), errOut)
	code, out, _ := run("check", "--help")
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.Contains(out, "Example: cicadahall check"))
}
