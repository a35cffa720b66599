package spec_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/tailscale/hujson"
	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/spec"
)

const examples = "../../examples/"

func readFile(t testing.TB, file string) string {
	t.Helper()
	b, err := os.ReadFile(file)
	assert.NilError(t, err)
	return string(b)
}

func faults(t testing.TB, err error) spec.Errors {
	t.Helper()
	var l spec.Errors
	assert.Assert(t, errors.As(err, &l), "%v", err)
	return l
}

// faultAt returns the fault with the given path and fails the test unless there
// is exactly one.
func faultAt(t testing.TB, err error, path string) spec.Error {
	t.Helper()
	var found spec.Errors
	for _, e := range faults(t, err) {
		if e.Path == path {
			found = append(found, e)
		}
	}
	assert.Equal(t, len(found), 1, "path %q: %v", path, err)
	return found[0]
}

func ExampleParseManifest() {
	_, err := spec.ParseManifest("hall.json", []byte(`{
  "name": "hall",
  "domains": [{"name": "a", "region": "north", "state": "off"}],
  "services": [{"name": "counter"}], // the version is missing
}`))
	fmt.Println(err)
	// Output:
	// hall.json:3:57: domains[0].state: write one of: in, out
	// hall.json:4:16: services[0].version: add this field with a string
}

// Guards against published examples that are rejected or parsed to other values
// than they state.
func TestExamples(t *testing.T) {
	m, err := spec.ParseManifest("m", []byte(readFile(t, examples+"montevideo/manifest.json")))
	assert.NilError(t, err)
	assert.Equal(t, m.Services[0].Timeout, 2*time.Second)
	assert.Equal(t, *m.Services[0].Routes[0].Idempotent, false)
	assert.Equal(t, m.Moves[0].Deadline, time.Date(2026, 12, 4, 11, 0, 0, 0, time.UTC))
	assert.Equal(t, m.Moves[0].Stages[1], spec.Stage{After: 10 * time.Minute, Share: 0.1})
	m, err = spec.ParseManifest("m", []byte(readFile(t, examples+"bucharest/manifest.json")))
	assert.NilError(t, err)
	assert.Equal(t, m.Domains[3].State, spec.Out)
	s, err := spec.ParseSettings("s", []byte(readFile(t, examples+"montevideo/counter-1.json")))
	assert.NilError(t, err)
	assert.Equal(t, s.Listen.Gossip, "127.0.0.1:7002")
	assert.Equal(t, int(s.Slots), 10)
	s, err = spec.ParseSettings("s", []byte(readFile(t, examples+"bucharest/booking-1.json")))
	assert.NilError(t, err)
	assert.Equal(t, s.Limits, spec.Limits{Body: 4 << 20, Inflight: 4096, Queue: 0})
	assert.Equal(t, s.Drain, 30*time.Second)
	assert.Equal(t, s.Log, spec.Info)
}

// Guards against a JSON Schema whose fields differ from those of the parser.
func TestSchemaInStep(t *testing.T) {
	m, err := spec.ManifestSchema()
	assert.NilError(t, err)
	assert.Equal(t, string(m), readFile(t, "../../schema/manifest.json"), "run go generate ./internal/spec")
	s, err := spec.SettingsSchema()
	assert.NilError(t, err)
	assert.Equal(t, string(s), readFile(t, "../../schema/settings.json"), "run go generate ./internal/spec")
}

// Guards against a faulty manifest that is accepted, and against a fault reported
// at the wrong position. Each case replaces text of the example manifest.
func TestManifestFaults(t *testing.T) {
	good := readFile(t, examples+"montevideo/manifest.json")
	for _, c := range []struct{ old, text, place, path, want string }{
		{`"version": "v1",`, `"release": "v1",`, "13:7", "services[0].release", "unknown field"},
		{`"version": "v1",`, ``, "11:5", "services[0].version", "add this field"},
		{`"version": "v1",`, `"version": 1,`, "13:18", "services[0].version", "write a string"},
		{`"2s"`, `"2"`, "14:18", "services[0].timeout", "units"},
		{`"2s"`, `"2 sec"`, "14:18", "services[0].timeout", "units"},
		{`"2s"`, `"6m"`, "14:18", "services[0].timeout", "from 1ms to 5m"},
		{`"2s",`, `"2s", "timeout": "3s",`, "14:24", "services[0].timeout", "only once"},
		{`"service": "counter"`, `"service": "till"`, "30:18", "moves[0].service", "name of a service"},
		{`"from": "v1"`, `"from": "v0"`, "31:15", "moves[0].from", `write "v1"`},
		{`"to": "v2"`, `"to": "v1"`, "32:13", "moves[0].to", "other than"},
		{`"name": "workshop"`, `"name": "counter"`, "21:15", "services[1].name", "services[0] already"},
		{`"mvd-d", "region"`, `"mvd-a", "region"`, "8:14", "domains[3].name", "domains[0] already"},
		{`"prefix": "/catalogue"`, `"prefix": "/lessons"`, "17:41", "services[0].routes[1].prefix", "already"},
		{`"2026-12-04T11:00:00Z"`, `"2026-12-04T09:00:00Z"`, "34:19", "moves[0].deadline", "after the start"},
		{`"2026-12-04T11:00:00Z"`, `"2026-12-04T10:20:00Z"`, "38:19", "moves[0].stages[2].after", "below 20m0s"},
		{`"2026-12-04T11:00:00Z"`, `"11:00"`, "34:19", "moves[0].deadline", "RFC 3339"},
		{`"20m"`, `"10m"`, "38:19", "moves[0].stages[2].after", "above 10m0s"},
		{`"share": 0.1`, `"share": 0.001`, "37:35", "moves[0].stages[1].share", "above 0.005"},
		{`"share": 1}`, `"share": 1.5}`, "38:35", "moves[0].stages[2].share", "from 0 to 1"},
		{`"share": 1}`, `"share": 0.9}`, "38:35", "moves[0].stages[2].share", "write 1"},
		{`"rate": 2`, `"rate": -1`, "43:23", "measure.rate", "from 0 to 100"},
		{`"rate": 2`, `"rate": 1e999`, "43:23", "measure.rate", "from 0 to 100"},
		{`"burst": 2`, `"burst": 2.5`, "43:35", "measure.burst", "without fraction"},
		{`"/health"`, `"health"`, "43:46", "measure.path", "starts with"},
		{`"montevideo"`, `"Montevideo"`, "3:11", "name", "lower-case"},
		{`"/health"},`, `"/health"}, [`, "44:1", "", "syntax"},
		{`"/health"},` + "\n}", `"/health"},` + "\n} {}", "44:3", "", "remove everything after"},
		{`"/health"},` + "\n}", `"/health"`, "44:1", "", "complete the file"},
		{`"montevideo"`, "\"é\xff\"", "3:13", "", "UTF-8"},
		{`"montevideo"`, strings.Repeat("[", 40), "3:42", "", "levels"},
		{`// Manifest`, "//" + strings.Repeat("x", spec.MaxManifestBytes), "1:1", "", "at most 1048576 bytes"},
		{`"moves": [`, `"moves": "none", "x": [`, "27:12", "moves", "write a list"},
	} {
		assert.Assert(t, strings.Contains(good, c.old), c.old)
		m, err := spec.ParseManifest("m", []byte(strings.Replace(good, c.old, c.text, 1)))
		assert.Assert(t, m == nil, c.text)
		e := faultAt(t, err, c.path)
		assert.Equal(t, fmt.Sprintf("%d:%d", e.Line, e.Column), c.place, "%s: %v", c.text, err)
		assert.Assert(t, strings.Contains(e.Text, c.want), "%s: %v", c.text, err)
	}
}

// Guards against a manifest that takes all failure domains out, after which no
// request could be served.
func TestNoDomainLeft(t *testing.T) {
	body := strings.ReplaceAll(readFile(t, examples+"montevideo/manifest.json"), `"in"`, `"out"`)
	_, err := spec.ParseManifest("m", []byte(body))
	assert.Equal(t, faults(t, err)[0].Path, "domains")
}

// Guards against moves of one service that overlap in time, and against the
// rejection of a move that starts at the deadline of another.
func TestOverlappingMoves(t *testing.T) {
	const next = `"moves": [{"name": "counter-v3", "service": "counter", "from": "v2", "to": "v3",
		"start": "%s", "deadline": "2026-12-04T13:00:00Z", "stages": [{"after": "0s", "share": 1}]},`
	good := readFile(t, examples+"montevideo/manifest.json")
	for start, want := range map[string]string{
		"2026-12-04T10:59:59Z":      "moves[0].start",
		"2026-12-04T11:00:00Z":      "",
		"2026-12-04T12:59:59+02:00": "moves[0].start",
	} {
		body := strings.Replace(good, `"moves": [`, fmt.Sprintf(next, start), 1)
		_, err := spec.ParseManifest("m", []byte(body))
		if want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.Equal(t, faults(t, err)[0].Path, want)
	}
}

// Guards against faulty settings that are accepted or reported with the wrong
// path.
func TestSettingsFaults(t *testing.T) {
	good := readFile(t, examples+"montevideo/counter-1.json")
	for _, c := range []struct{ old, text, path string }{
		{`"127.0.0.1:7004"`, `"127.0.0.1:7000"`, "listen.admin"},
		{`"127.0.0.1:7004"`, `"127.0.0.1"`, "listen.admin"},
		{`"127.0.0.1:7004"`, `"127.0.0.1:70040"`, "listen.admin"},
		{`"http://127.0.0.1:7101"`, `"127.0.0.1:7101"`, "platform.objects"},
		{`"http://127.0.0.1:7101"`, `"http://127.0.0.1:7101/x"`, "platform.objects"},
		{`["127.0.0.1:7011"]`, `["127.0.0.1:7011", "127.0.0.1:7011"]`, "peers[1]"},
		{`["127.0.0.1:7011"]`, `[7011]`, "peers[0]"},
		{`"slots": 10`, `"slots": 0`, "slots"},
		{`"queue": 64`, `"queue": 1000000`, "limits.queue"},
		{`"drain": "30s"`, `"drain": 30`, "drain"},
		{`"log": "info"`, `"log": "loud"`, "log"},
	} {
		assert.Assert(t, strings.Contains(good, c.old), c.old)
		s, err := spec.ParseSettings("s", []byte(strings.Replace(good, c.old, c.text, 1)))
		assert.Assert(t, s == nil, c.text)
		l := faults(t, err)
		assert.Equal(t, len(l), 1, "%v", err)
		assert.Equal(t, l[0].Path, c.path, c.text)
	}
}

// Guards against a field whose type isn't checked: replaces each value of the
// example by null and expects the first fault at its position.
func TestEveryValueIsChecked(t *testing.T) {
	body := []byte(readFile(t, examples+"montevideo/manifest.json"))
	tree, err := hujson.Parse(body)
	assert.NilError(t, err)
	count := 0
	for v := range tree.All() {
		if isName(tree, v) {
			continue
		}
		count++
		text := append([]byte{}, body[:v.StartOffset]...)
		text = append(append(text, "null"...), body[v.EndOffset:]...)
		_, err := spec.ParseManifest("m", text)
		head := string(body[:v.StartOffset])
		line := 1 + strings.Count(head, "\n")
		column := v.StartOffset - strings.LastIndex(head, "\n")
		e := faults(t, err)[0]
		assert.Equal(t, [2]int{e.Line, e.Column}, [2]int{line, column}, "%v", err)
	}
	assert.Assert(t, count > 60, "%d values", count)
}

// isName reports whether v is the name of an object member.
func isName(tree hujson.Value, v *hujson.Value) bool {
	for p := range tree.All() {
		o, ok := p.Value.(*hujson.Object)
		if !ok {
			continue
		}
		for i := range o.Members {
			if &o.Members[i].Name == v {
				return true
			}
		}
	}
	return false
}

// Guards against a parser that stops at the first fault.
func TestAllFaultsAreReported(t *testing.T) {
	body := readFile(t, examples+"montevideo/manifest.json")
	for _, r := range [][2]string{
		{`"2s"`, `"2"`},
		{`"rate": 2`, `"rate": "2"`},
		{`"from": "v1"`, `"from": "v9"`},
		{`"share": 0.1`, `"share": 0.001`},
	} {
		body = strings.Replace(body, r[0], r[1], 1)
	}
	_, err := spec.ParseManifest("m", []byte(body))
	var paths []string
	for _, e := range faults(t, err) {
		paths = append(paths, e.Path)
	}
	assert.DeepEqual(t, paths, []string{
		"services[0].timeout", "moves[0].from", "moves[0].stages[1].share", "measure.rate",
	})
}

// Guards against input on which the parser panics, reports a fault without a
// valid position, or accepts values out of range.
func FuzzParse(f *testing.F) {
	f.Add(readFile(f, examples+"montevideo/manifest.json"))
	f.Add(readFile(f, examples+"bucharest/booking-1.json"))
	for _, s := range []string{"", "{", "null", "[]", `{"name": [{}]}`, `{"domains": [3]}`, "/*", `{"a":"\ud800"}`, "\xef\xbb\xbf{}"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, body string) {
		m, err := spec.ParseManifest("m", []byte(body))
		assert.Equal(t, m == nil, err != nil)
		checkFaults(t, body, err)
		if m != nil {
			assert.Assert(t, len(m.Domains) > 0 && m.Measure.Burst > 0)
		}
		s, err := spec.ParseSettings("s", []byte(body))
		assert.Equal(t, s == nil, err != nil)
		checkFaults(t, body, err)
	})
}

// checkFaults asserts that each fault has a position in the body and a text.
func checkFaults(t *testing.T, body string, err error) {
	if err == nil {
		return
	}
	l := faults(t, err)
	assert.Assert(t, len(l) > 0)
	lines := strings.Split(body, "\n")
	for _, e := range l {
		assert.Assert(t, e.Line >= 1 && e.Line <= len(lines), "%v", e)
		assert.Assert(t, e.Column >= 1 && e.Column <= len(lines[e.Line-1])+1, "%v", e)
		assert.Assert(t, e.Text != "")
	}
}

// Guards against a nesting check that counts brackets in strings or comments, or
// brackets that are already closed, and so rejects a large but flat manifest.
func TestNestingCountsOnlyOpenBrackets(t *testing.T) {
	domains := strings.Repeat(`{"name": "a", "region": "r"},`, 60)
	noise := strings.Repeat("[", 40)
	body := `{"name": "\"` + noise + `", /* ` + noise + ` */ "services": [], // ` + noise + "\n" + `"domains": [` + domains + `]}`
	_, err := spec.ParseManifest("m", []byte(body))
	for _, e := range faults(t, err) {
		assert.Assert(t, !strings.Contains(e.Text, "levels"), "%v", e)
	}
	assert.Equal(t, len(faults(t, err)), 60)
}
