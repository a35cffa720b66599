package event_test

import (
	"bytes"
	"encoding/json"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
)

func sampleRecords() []event.Record {
	newRecord := func(node string, seq uint64, after time.Duration, c event.Code, f ...event.Field) event.Record {
		return event.Record{Time: event.Time{Wall: noon.Add(after).UnixNano()}, Node: ident.Node(node), Start: 1<<63 + 1, Sequence: seq, Code: c, Fields: f}
	}
	return event.Merge([]event.Record{
		newRecord("b", 1, time.Second, event.MemberSuspect, event.NewField(event.Peer, "a"), event.NewField(event.Reason, "</script><img src=x>")),
		newRecord("a", 1, 0, event.NodeReady, event.NewField(event.Elapsed, "20 ms")),
	})
}

func ExampleWriteText() {
	_ = event.WriteText(os.Stdout, sampleRecords(), "c did not answer")
	// Output:
	// # c did not answer
	// 2026-12-04T12:00:00.000000000Z+0 a info   101 node-ready elapsed="20 ms"
	// 2026-12-04T12:00:01.000000000Z+0 b warn   301 member-suspect peer=a reason="</script><img src=x>"
}

// Guards against a page that lacks a lane, a record or a note, that places an
// event at the wrong time, or that renders a field value as markup.
func TestPage(t *testing.T) {
	var b bytes.Buffer
	records := sampleRecords()
	slices.Reverse(records)
	assert.NilError(t, event.WriteHTML(&b, records, "c did not answer <b>"))
	text := b.String()
	assert.Assert(t, strings.Contains(text, "c did not answer &lt;b&gt;"))
	assert.Equal(t, strings.Count(text, "</script>"), 1)
	assert.Assert(t, !strings.Contains(text, "<img"))
	match := regexp.MustCompile(`(?m)^const data = (.*);$`).FindStringSubmatch(text)
	assert.Equal(t, len(match), 2)
	var data struct {
		Nodes []string
		Marks []struct {
			At    float64
			Lane  int
			Code  int
			Start string
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(match[1]), &data))
	assert.DeepEqual(t, data.Nodes, []string{"a", "b"})
	assert.Equal(t, len(data.Marks), 2)
	assert.Equal(t, data.Marks[1].At, 1000.0)
	assert.Equal(t, data.Marks[1].Lane, 1)
	assert.Equal(t, data.Marks[1].Start, "8000000000000001")
}

// Guards against a page that loads other resources and can't be read without
// them.
func TestPageIsSelfContained(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, event.WriteHTML(&b, nil))
	for _, part := range []string{"http:", "https:", "src=", "url(", "@import", "<link", "fetch("} {
		assert.Assert(t, !strings.Contains(b.String(), part), part)
	}
	assert.Assert(t, strings.Contains(b.String(), "default-src 'none'"))
}

// Guards against JSON whose keys differ from those of a log line, and against a
// start id written as a number, which parsers with 53-bit numbers would round.
func TestRecordJSON(t *testing.T) {
	b, err := json.Marshal(sampleRecords()[0])
	assert.NilError(t, err)
	assert.Equal(t, string(b), `{"time":"2026-12-04T12:00:00.000000000Z","logical":0,"node":"a","start":"8000000000000001","seq":1,`+
		`"level":"info","code":101,"event":"node-ready","fields":[{"name":"elapsed","value":"20 ms"}]}`)
}
