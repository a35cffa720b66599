// Package plat connects store.Table and store.Objects to the platform's HTTP
// interface. It maps transport errors to outcomes: a call that certainly never
// reached the platform is Refused, a call whose response was lost is Unknown.
// A platform with another protocol needs another implementation of this
// package only.
package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/internal/wire/reply"
	"github.com/cicadahall/cicadahall/store"
)

const (
	// maxResponseBytes bounds the body of one response of the platform.
	maxResponseBytes = 32 << 20
	// maxIdleConns bounds the idle connections to one platform service.
	maxIdleConns = 4
	// idleTimeout closes idle connections before typical middleboxes drop them.
	idleTimeout = 30 * time.Second
)

var errResponseTooLarge = errors.New("response exceeds the size limit")

// KeyRequest is the body of the table's get and scan calls.
type KeyRequest struct {
	Key string `json:"key"`
}

// CommitRequest is the body of the table's commit call.
type CommitRequest struct {
	Writes []store.Write `json:"writes"`
}

// RowsResponse is the response body of the table's get and scan calls.
type RowsResponse struct {
	Rows []store.Row `json:"rows"`
}

// client calls one platform service. It doesn't retry, because only its
// callers know which writes are idempotent.
type client struct {
	base string
	http *http.Client
}

func newClient(base string) *client {
	t := reply.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout})
	return &client{base: base, http: &http.Client{Transport: t}}
}

// NewTable returns the table service at the base URL.
func NewTable(base string) store.Table {
	c := newClient(base)
	return store.Table{Get: c.get, Commit: c.commit, Scan: c.scan}
}

// NewObjects returns the object store at the base URL.
func NewObjects(base string) store.Objects {
	c := newClient(base)
	return store.Objects{Get: c.getObject, Put: c.putObject}
}

func (c *client) get(ctx context.Context, key string) (store.Row, store.Result) {
	rows, r := c.rows(ctx, "/get", key)
	if !r.OK() {
		return store.Row{}, r
	}
	if len(rows) != 1 {
		return store.Row{}, c.failed("get", store.Unknown, errors.New("response does not contain exactly one row"))
	}
	return rows[0], r
}

func (c *client) scan(ctx context.Context, prefix string) ([]store.Row, store.Result) {
	return c.rows(ctx, "/scan", prefix)
}

func (c *client) rows(ctx context.Context, path, key string) ([]store.Row, store.Result) {
	body, r := c.post(ctx, path, KeyRequest{Key: key})
	if !r.OK() {
		return nil, r
	}
	var rows RowsResponse
	if err := json.Unmarshal(body, &rows); err != nil {
		return nil, c.failed(path, store.Unknown, err)
	}
	return rows.Rows, r
}

func (c *client) commit(ctx context.Context, writes []store.Write) store.Result {
	_, r := c.post(ctx, "/commit", CommitRequest{Writes: writes})
	return r
}

func (c *client) getObject(ctx context.Context, key string) ([]byte, store.Result) {
	return c.do(ctx, http.MethodGet, "/objects/"+key, nil)
}

func (c *client) putObject(ctx context.Context, key string, body []byte) store.Result {
	_, r := c.do(ctx, http.MethodPut, "/objects/"+key, body)
	return r
}

func (c *client) post(ctx context.Context, path string, message any) ([]byte, store.Result) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, c.failed(path, store.Refused, err)
	}
	return c.do(ctx, http.MethodPost, path, body)
}

func (c *client) do(ctx context.Context, method, path string, body []byte) ([]byte, store.Result) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, c.failed(path, store.Refused, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, c.failed(path, outcomeOf(err), err)
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(content) > maxResponseBytes {
		err = errResponseTooLarge
	}
	if err != nil {
		return nil, c.failed(path, store.Unknown, err)
	}
	return content, c.result(path, resp.StatusCode)
}

// result maps an HTTP status to an outcome. Only the statuses with which the
// platform states that the call had no effect are Refused.
func (c *client) result(path string, status int) store.Result {
	switch status {
	case http.StatusOK, http.StatusNoContent, http.StatusCreated:
		return store.Result{Outcome: store.Done}
	case http.StatusConflict:
		r := c.failed(path, store.Refused, errors.New("row version differs from the expected one"))
		r.Conflict = true
		return r
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest, http.StatusNotFound:
		return c.failed(path, store.Refused, errors.New(http.StatusText(status)))
	default:
		return c.failed(path, store.Unknown, errors.New(http.StatusText(status)))
	}
}

// failed returns the result of a failed step. Err names the step and the platform service.
func (c *client) failed(step string, o store.Outcome, err error) store.Result {
	return store.Result{Outcome: o, Err: oops.With("step", step, "peer", c.base).Wrap(err)}
}

// outcomeOf returns Refused if no connection was made, and Unknown if the
// request may have been sent and its response was lost.
func outcomeOf(err error) store.Outcome {
	var oe *net.OpError
	if errors.As(err, &oe) && oe.Op == "dial" {
		return store.Refused
	}
	return store.Unknown
}
