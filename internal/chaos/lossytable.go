package chaos

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
)

// NewLossyTable returns a proxy for the table service at the given address. It
// forwards calls up to and including the first commit and drops the response of
// that commit. It then answers no further calls, so that a command can't read
// back what it wrote.
func NewLossyTable(table string) *httptest.Server {
	var committed atomic.Bool
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if committed.Load() {
			panic(http.ErrAbortHandler)
		}
		resp, err := http.Post("http://"+table+r.URL.Path, r.Header.Get("Content-Type"), r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = resp.Body.Close() }()
		if strings.HasSuffix(r.URL.Path, "/commit") {
			committed.Store(true)
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}))
}
