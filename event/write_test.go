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

func sample() []event.Record {
	rec := func(node string, seq uint64, after time.Duration, c event.Code, f ...event.Field) event.Record {
		return event.Record{Time: event.Time{Wall: noon.Add(after).UnixNano()}, Node: ident.Node(node), Start: 1<<63 + 1, Sequence: seq, Code: c, Fields: f}
	}
	return event.Merge([]event.Record{
		rec("b", 1, time.Second, event.MemberSuspect, event.F(event.Peer, "a"), event.F(event.Reason, "</script><img src=x>")),
		rec("a", 1, 0, event.NodeReady, event.F(event.Elapsed, "20 ms")),
	})
}

func ExampleWriteText() {
	_ = event.WriteText(os.Stdout, sample(), "c did not answer")
	// Output:
	// # c did not answer
	// 2026-12-04T12:00:00.000000000Z+0 a info   101 node-ready elapsed="20 ms"
	// 2026-12-04T12:00:01.000000000Z+0 b warn   301 member-suspect peer=a reason="</script><img src=x>"
}

// Guards against a page that lacks a lane, a record or a note, that shows the
// wrong place on the axis, or that runs markup from an error text.
func TestPage(t *testing.T) {
	var b bytes.Buffer
	records := sample()
	slices.Reverse(records)
	assert.NilError(t, event.WriteHTML(&b, records, "c did not answer <b>"))
	text := b.String()
	assert.Assert(t, strings.Contains(text, "c did not answer &lt;b&gt;"))
	assert.Equal(t, strings.Count(text, "</script>"), 1)
	assert.Assert(t, !strings.Contains(text, "<img"))
	found := regexp.MustCompile(`(?m)^const data = (.*);$`).FindStringSubmatch(text)
	assert.Equal(t, len(found), 2)
	var d struct {
		Nodes []string
		Marks []struct {
			At    float64
			Lane  int
			Code  int
			Start string
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(found[1]), &d))
	assert.DeepEqual(t, d.Nodes, []string{"a", "b"})
	assert.Equal(t, len(d.Marks), 2)
	assert.Equal(t, d.Marks[1].At, 1000.0)
	assert.Equal(t, d.Marks[1].Lane, 1)
	assert.Equal(t, d.Marks[1].Start, "8000000000000001")
}

// Guards against a page that loads something from outside and is unreadable
// when that is gone.
func TestPageIsSelfContained(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, event.WriteHTML(&b, nil))
	for _, part := range []string{"http:", "https:", "src=", "url(", "@import", "<link", "fetch("} {
		assert.Assert(t, !strings.Contains(b.String(), part), part)
	}
	assert.Assert(t, strings.Contains(b.String(), "default-src 'none'"))
}

// Guards against JSON whose keys differ from the log line or that loses digits
// of the start in a reader with 53-bit numbers.
func TestRecordJSON(t *testing.T) {
	b, err := json.Marshal(sample()[0])
	assert.NilError(t, err)
	assert.Equal(t, string(b), `{"time":"2026-12-04T12:00:00.000000000Z","logical":0,"node":"a","start":"8000000000000001","seq":1,`+
		`"level":"info","code":101,"event":"node-ready","fields":[{"name":"elapsed","value":"20 ms"}]}`)
}
