package plat_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/plat"
	"github.com/cicadahall/cicadahall/internal/stand"
	"github.com/cicadahall/cicadahall/store"
)

// newPlatform serves a platform stand-in and returns clients of its two services.
func newPlatform(t *testing.T) (*httptest.Server, store.Table, store.Objects) {
	s := httptest.NewServer(stand.NewPlatform().Handler())
	t.Cleanup(s.Close)
	return s, plat.NewTable(s.URL), plat.NewObjects(s.URL)
}

func setFault(t *testing.T, s *httptest.Server, mode stand.Mode, delay int) {
	body := fmt.Sprintf(`{"mode": %q, "delay": %d}`, mode, delay)
	r, err := http.Post(s.URL+"/fault", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	r.Body.Close()
}

// commitRow writes one row whose version is expected to be expect.
func commitRow(table store.Table, expect uint64) store.Result {
	return table.Commit(context.Background(), []store.Write{{Key: "k", Value: []byte("v"), ExpectedVersion: expect}})
}

// Guards against two writers that both commit a row with the same expected version.
func TestCommitIsCompareAndSet(t *testing.T) {
	_, table, _ := newPlatform(t)
	assert.Assert(t, commitRow(table, 0).OK())
	r := commitRow(table, 0)
	assert.Equal(t, r.Outcome, store.Refused)
	assert.Assert(t, r.Conflict)
	assert.Assert(t, commitRow(table, 1).OK())
	row, r := table.Get(t.Context(), "k")
	assert.Assert(t, r.OK())
	assert.Equal(t, row.Version, uint64(2))
	rows, r := table.Scan(t.Context(), "k")
	assert.Assert(t, r.OK())
	assert.Equal(t, len(rows), 1)
}

// Guards against a transaction of which only some writes are applied.
func TestCommitAppliesAllOrNothing(t *testing.T) {
	_, table, _ := newPlatform(t)
	r := table.Commit(t.Context(), []store.Write{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1"), ExpectedVersion: 7}})
	assert.Assert(t, r.Conflict)
	row, r := table.Get(t.Context(), "a")
	assert.Assert(t, r.OK())
	assert.Equal(t, row.Version, uint64(0))
}

// Guards against reporting a lost response as a refusal, although the write
// took effect.
func TestLostAnswerIsUnknown(t *testing.T) {
	s, table, _ := newPlatform(t)
	setFault(t, s, stand.ModeResponseLost, 0)
	assert.Equal(t, commitRow(table, 0).Outcome, store.Unknown)
	setFault(t, s, stand.ModeNone, 0)
	row, _ := table.Get(t.Context(), "k")
	assert.Equal(t, row.Version, uint64(1))
}

// Guards against an unknown outcome where the platform states that the call had
// no effect, or where no connection could be made.
func TestOutageIsRefused(t *testing.T) {
	s, table, objects := newPlatform(t)
	setFault(t, s, stand.ModeUnavailable, 0)
	r := commitRow(table, 0)
	assert.Equal(t, r.Outcome, store.Refused)
	assert.Assert(t, !r.Conflict)
	assert.Equal(t, objects.Put(t.Context(), "manifest/d", []byte("b")).Outcome, store.Refused)
	s.Close()
	// A new client has to dial. On a reused connection the outcome would be unknown.
	assert.Equal(t, commitRow(plat.NewTable(s.URL), 0).Outcome, store.Refused)
}

// Guards against a slow platform that blocks a caller beyond its deadline.
func TestSlowAnswerIsUnknownAtTheDeadline(t *testing.T) {
	s, table, _ := newPlatform(t)
	setFault(t, s, stand.ModeSlow, 60_000)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r := table.Commit(ctx, []store.Write{{Key: "k"}})
	assert.Equal(t, r.Outcome, store.Unknown)
}

// Guards against objects that can't be read back because their keys contain a slash.
func TestObjectsRoundTrip(t *testing.T) {
	_, _, objects := newPlatform(t)
	assert.Assert(t, objects.Put(t.Context(), "manifest/d", []byte("body")).OK())
	body, r := objects.Get(t.Context(), "manifest/d")
	assert.Assert(t, r.OK())
	assert.Equal(t, string(body), "body")
	_, r = objects.Get(t.Context(), "manifest/none")
	assert.Equal(t, r.Outcome, store.Refused)
}
