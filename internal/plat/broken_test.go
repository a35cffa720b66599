package plat_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/plat"
	"github.com/cicadahall/cicadahall/internal/stand"
	"github.com/cicadahall/cicadahall/store"
)

// rawPlatform returns the base URL of a platform that writes text in place of
// every response.
func rawPlatform(t *testing.T, text string, ending stand.Ending) string {
	s := httptest.NewServer(stand.RawResponse{Text: func(*http.Request) string { return text }, Ending: ending})
	t.Cleanup(s.Close)
	return s.URL
}

// Guards against a response without a length whose connection is reset while
// the call is being written, and that confirms the write.
func TestResetDuringPutIsUnknown(t *testing.T) {
	objects := plat.NewObjects(rawPlatform(t, "HTTP/1.1 200 OK\r\n\r\npart", stand.Reset))
	const puts = 50
	complete := 0
	for range puts {
		if objects.Put(t.Context(), "k", make([]byte, 16<<20)).Outcome != store.Unknown {
			complete++
		}
	}
	assert.Equal(t, complete, 0, "of %d truncated responses", puts)
}

// Guards against a response with an invalid status that proves an outcome.
func TestMalformedStatusIsUnknown(t *testing.T) {
	for _, status := range []string{"000", "101", "600"} {
		base := rawPlatform(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\n{}", stand.Finished)
		assert.Equal(t, commitRow(plat.NewTable(base), 0).Outcome, store.Unknown, status)
		_, r := plat.NewObjects(base).Get(t.Context(), "k")
		assert.Equal(t, r.Outcome, store.Unknown, status)
	}
}

// Guards against an object whose length is unknown, since the field name of its
// length is invalid.
func TestMalformedFieldNameIsUnknown(t *testing.T) {
	base := rawPlatform(t, "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\npart", stand.Finished)
	object, r := plat.NewObjects(base).Get(t.Context(), "k")
	assert.Equal(t, r.Outcome, store.Unknown, "%q", object)
}

// Guards against a response without end that takes the node over its memory, or
// of which a part is taken for the whole object.
func TestEndlessResponseIsUnknown(t *testing.T) {
	s := httptest.NewServer(stand.RawResponse{Text: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" }, Endless: "no answer "})
	defer s.Close()
	var r store.Result
	var object []byte
	peak := stand.PeakHeap(func() { object, r = plat.NewObjects(s.URL).Get(t.Context(), "k") })
	assert.Assert(t, peak < stand.NodeMemory, "the heap grew to %d bytes", peak)
	assert.Equal(t, r.Outcome, store.Unknown, "%d bytes", len(object))
}
