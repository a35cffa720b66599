package event_test

import (
	"bytes"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func fixedNow() time.Time { return noon }

func ExampleLog() {
	l := event.New(event.Options{Node: "counter-1", Start: 7, Now: fixedNow, Output: event.Output(os.Stdout), Level: event.LevelInfo})
	l.Emit(event.NodeReady, event.NewField(event.Elapsed, 20*time.Millisecond))
	l.Emit(event.ProbeSent) // below the level
	records, lost := l.Since(0)
	fmt.Println(len(records), lost)
	// Output:
	// time=2026-12-04T12:00:00.000000000Z logical=0 node=counter-1 start=0000000000000007 seq=1 level=info code=101 event=node-ready elapsed=20ms
	// 1 0
}

// Guards against timestamps that don't increase while the physical clock stands
// still or goes back, and against an event that sorts before an observed one.
func TestClockAscends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// A small range makes equal times and counter overflows common.
		c := event.Clock{MaxDrift: 5}
		var last event.Time
		for range 50 {
			now := noon.Add(time.Duration(rapid.IntRange(-4, 4).Draw(t, "now")))
			if rapid.Bool().Draw(t, "observe") {
				observed := event.Time{
					Wall:    noon.UnixNano() + int64(rapid.IntRange(-4, 14).Draw(t, "remote")),
					Logical: rapid.SampledFrom([]uint32{0, 1, math.MaxUint32}).Draw(t, "logical"),
				}
				err := c.Observe(observed, now)
				tooFar := observed.Physical().Sub(now) > 5
				assert.Equal(t, err != nil, tooFar)
				if err == nil && last.Before(observed) {
					last = observed
				}
			}
			next := c.Now(now)
			assert.Assert(t, last.Before(next), "%v then %v", last, next)
			last = next
		}
	})
}

// Guards against a node with a wrong clock that moves the clocks of all other
// nodes into the future.
func TestClockIgnoresFarFuture(t *testing.T) {
	c := event.Clock{MaxDrift: time.Second}
	err := c.Observe(event.Time{Wall: noon.Add(time.Hour).UnixNano()}, noon)
	var drift event.DriftError
	assert.Assert(t, errors.As(err, &drift))
	assert.Equal(t, drift.Ahead, time.Hour)
	assert.Equal(t, c.Now(noon), event.Time{Wall: noon.UnixNano()})
}

// Guards against overwritten records that aren't counted, and against records
// returned twice or out of order.
func TestSinceCountsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		n := rapid.IntRange(0, 20).Draw(t, "n")
		since := rapid.IntRange(0, 22).Draw(t, "since")
		l := event.New(event.Options{RingSize: size, Now: fixedNow})
		for range n {
			l.Emit(event.NodeReady)
		}
		records, lost := l.Since(uint64(since))
		after := max(0, n-since)
		assert.Equal(t, len(records), min(after, size))
		assert.Equal(t, int(lost), after-len(records))
		for i, r := range records {
			assert.Equal(t, r.Sequence, uint64(n-len(records)+i+1))
		}
	})
}

// Guards against a value from a caller that exhausts the memory of the node, or
// that isn't valid UTF-8 and so makes every message with events of this node
// fail.
func TestValuesAreBounded(t *testing.T) {
	l := event.New(event.Options{})
	fields := []event.Field{event.NewField(event.Path, strings.Repeat("é", 1000)), event.NewField(event.Error, "a\xffb")}
	l.Emit(event.ProbeFailed, fields...)
	records, _ := l.Since(0)
	assert.Equal(t, records[0].Value(event.Path), strings.Repeat("é", 256))
	assert.Equal(t, records[0].Value(event.Error), "ab")
	assert.Equal(t, len(fields[0].Value), 2000, "Emit changed the caller's fields")
	l.Emit(event.ProbeFailed, event.NewField(event.Path, "a"+strings.Repeat("é", 1000)))
	records, _ = l.Since(1)
	assert.Equal(t, records[0].Value(event.Path), "a"+strings.Repeat("é", 255))
}

// Guards against a log line that makes ParseLine panic or return an error other
// than ErrNoEvent.
func FuzzParseLine(f *testing.F) {
	f.Add("time=2026-12-04T12:00:00.000000000Z logical=0 node=a start=7 seq=1 level=info code=101 event=node-ready")
	f.Add("code=9999999999999 =x \"")
	f.Add("time=9999-12-31T23:59:59.999999999Z logical=4294967296")
	f.Fuzz(func(t *testing.T, line string) {
		r, err := event.ParseLine(line)
		if err != nil {
			assert.ErrorIs(t, err, event.ErrNoEvent)
			return
		}
		assert.NilError(t, event.WriteHTML(io.Discard, []event.Record{r}))
	})
}

func drawRecord(t *rapid.T, i int) event.Record {
	r := event.Record{
		Time:     event.Time{Wall: noon.UnixNano() + rapid.Int64Range(0, 5).Draw(t, "wall"), Logical: rapid.Uint32Range(0, 3).Draw(t, "logical")},
		Node:     ident.Node(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node")),
		Start:    math.MaxUint64 - ident.Start(i%2),
		Sequence: uint64(i / 2),
		Code:     rapid.SampledFrom(event.Kinds()).Draw(t, "kind").Code,
	}
	for _, n := range []event.Name{event.Peer, event.Error} {
		r.Fields = append(r.Fields, event.Field{Name: n, Value: rapid.String().Draw(t, "value")})
	}
	return r
}

// Guards against a field value that isn't parsed back unchanged from its log
// line, such as one with quotes or line breaks.
func TestLineRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawRecord(t, 1)
		var b bytes.Buffer
		assert.NilError(t, event.Output(&b)(want.Keyvals()...))
		line := strings.TrimSuffix(b.String(), "\n")
		assert.Assert(t, !strings.Contains(line, "\n"))
		got, err := event.ParseLine(line)
		assert.NilError(t, err, line)
		assert.DeepEqual(t, got, want)
	})
}

// Guards against output of other programs and truncated lines that are parsed as
// events.
func TestParseLineRejectsOther(t *testing.T) {
	const good = "time=2026-12-04T12:00:00.000000000Z logical=0 node=a start=0000000000000007 seq=1 level=info code=101 event=node-ready"
	_, err := event.ParseLine(good)
	assert.NilError(t, err)
	for _, line := range []string{
		"", "panic: runtime error", "level=info msg=hello", good[:40],
		strings.Replace(good, "code=101", "code=x", 1),
		strings.Replace(good, "seq=1", "seq=-1", 1),
		strings.Replace(good, "2026", "year", 1),
		strings.Replace(good, "seq=1 ", "", 1),
		good + ` error="cut`,
	} {
		_, err := event.ParseLine(line)
		assert.ErrorIs(t, err, event.ErrNoEvent, line)
	}
}

// Guards against a timeline that depends on the order of its sources, loses
// records, or repeats a record that two sources hold.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a, b []event.Record
		n := rapid.IntRange(0, 20).Draw(t, "n")
		for i := range n {
			r := drawRecord(t, i)
			source := rapid.IntRange(0, 2).Draw(t, "where")
			if source != 1 {
				a = append(a, r)
			}
			if source != 0 {
				b = append(b, r)
			}
		}
		got := event.Merge(a, b)
		assert.Equal(t, len(got), n)
		assert.DeepEqual(t, got, event.Merge(b, a))
		for i := 1; i < n; i++ {
			assert.Assert(t, !got[i].Time.Before(got[i-1].Time))
		}
	})
}

// Guards against a catalogue that lacks a code, repeats a code or a name, differs
// from docs/events.md, or has a field with the name of a reserved log key.
func TestCatalogue(t *testing.T) {
	want, err := os.ReadFile("../docs/events.md")
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, event.WriteCatalogue(&b))
	assert.Equal(t, b.String(), string(want), "run go generate ./event")
	names := map[string]bool{}
	last := event.Code(0)
	for _, k := range event.Kinds() {
		assert.Assert(t, k.Code > last, "%d", k.Code)
		last = k.Code
		assert.Assert(t, !names[k.Name], k.Name)
		names[k.Name] = true
		assert.Assert(t, strings.HasSuffix(k.Text, "."), k.Name)
		for _, f := range k.Fields {
			for _, key := range []string{"time", "logical", "node", "start", "seq", "level", "code", "event"} {
				assert.Assert(t, string(f) != key, "%s: %s", k.Name, f)
			}
		}
	}
	assert.Equal(t, countCodes(t), len(event.Kinds()), "each code needs an entry in the catalogue")
}

// countCodes counts the constants of type Code in code.go.
func countCodes(t *testing.T) int {
	f, err := parser.ParseFile(token.NewFileSet(), "code.go", nil, 0)
	assert.NilError(t, err)
	count := 0
	for _, d := range f.Decls {
		g, ok := d.(*ast.GenDecl)
		if !ok || g.Tok != token.CONST {
			continue
		}
		first := g.Specs[0].(*ast.ValueSpec)
		if kind, ok := first.Type.(*ast.Ident); ok && kind.Name == "Code" {
			count += len(g.Specs)
		}
	}
	return count
}

// Guards against a field that a package emits but the catalogue doesn't list.
func TestCheck(t *testing.T) {
	assert.NilError(t, event.Record{Code: event.StoreUp, Fields: []event.Field{event.NewField(event.Store, "table")}}.Check())
	assert.ErrorContains(t, event.Record{Code: event.StoreUp, Fields: []event.Field{event.NewField(event.Move, "m")}}.Check(), "no field")
	assert.ErrorContains(t, event.Record{Code: 99}.Check(), "not in the catalogue")
}
