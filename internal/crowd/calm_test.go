package crowd_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against bounds that a single caller within the limits meets: bodies of
// 64 MiB, one after the other on one connection, at a node of 184 MB. With a receive
// buffer that was smaller for heads, 4 of 60 such bodies stood still.
func TestLargeBodiesOnCalmNode(t *testing.T) {
	const (
		megabytes = 184
		size      = 64 << 20
		count     = 30
	)
	s := startWith(t, megabytes, size)
	client := http.Client{Transport: &http.Transport{}}
	body := make([]byte, size)
	for i := range count {
		r, err := http.NewRequest(http.MethodPost, "http://"+s.callers+"/book/x", bytes.NewReader(body))
		assert.NilError(t, err)
		r.Host = "shop.example"
		r.Header.Set("X-Request-Id", fmt.Sprintf("large-%d", i))
		r.Header.Set("X-Deadline-Ms", "9000")
		resp, err := client.Do(r)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusOK, "body %d", i)
	}
	s.check()
}
