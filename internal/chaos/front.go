package chaos

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
)

// LosingTable stands between a command and the table service. It passes calls
// on until the first commit, whose answer it drops; from then on it answers
// nothing, so that the command can't read back what it wrote.
func LosingTable(table string) *httptest.Server {
	var lost atomic.Bool
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if lost.Load() {
			panic(http.ErrAbortHandler)
		}
		resp, err := http.Post("http://"+table+r.URL.Path, r.Header.Get("Content-Type"), r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = resp.Body.Close() }()
		if strings.HasSuffix(r.URL.Path, "/commit") {
			lost.Store(true)
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}))
}
