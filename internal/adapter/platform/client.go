// Package platform reaches the platform's key-value service over its HTTP
// interface: /v1/kv with check-and-set and blocking queries, and /v1/session
// for leases. The package keeps no state between calls and retries nothing.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cassiatray/internal/adapter/httpclient"
	"cassiatray/internal/port"
)

// MaxValue bounds a value, in bytes.
const MaxValue = 1 << 20

const (
	// maxReply bounds a reply that is about one key or lease, in bytes: a value in base64 with
	// its fields. Several are read at once.
	maxReply = 2 << 20
	// maxListReply bounds a list, in bytes.
	maxListReply = 64 << 20
)

// maxReplyHead bounds the head of a reply, in bytes; it has a few hundred.
const maxReplyHead = 64 << 10

// watchSlack is added to a watch's wait before the reply counts as lost.
const watchSlack = 5 * time.Second

// Client implements port.Platform.
type Client struct {
	base    string
	name    string
	http    *http.Client
	timeout time.Duration
}

// clientHeader names this client to the service, for its logs and limits.
const clientHeader = "X-Platform-Client"

// Named returns the client with a name that it shows to the service.
func (c *Client) Named(name string) *Client {
	named := *c
	named.name = name
	return &named
}

// New returns a client of the service at address ("ip:port"). Each call that
// does not wait takes at most timeout.
func New(address string, timeout time.Duration) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 4,

		MaxResponseHeaderBytes: maxReplyHead,
	}
	return &Client{base: "http://" + address, http: httpclient.New(transport), timeout: timeout}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// kvPair is one key in the service's JSON.
type kvPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// StatusError is an HTTP status that the interface does not give for the call.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

type call struct {
	op, method, path, key string
	query                 url.Values
	body                  []byte
	write                 bool
	wait                  time.Duration
	// list is set for a call whose reply is about many keys.
	list bool
}

// SizeError is a reply over its limit, in bytes.
type SizeError struct{ Limit int64 }

func (e *SizeError) Error() string { return fmt.Sprintf("reply over %d bytes", e.Limit) }

func (c *Client) do(ctx context.Context, k call) (int, []byte, error) {
	limit := c.timeout
	if k.wait > 0 {
		limit = k.wait + watchSlack
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	target := c.base + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, k.method, target, bytes.NewReader(k.body))
	if err != nil {
		return 0, nil, k.fail(port.StoreUnavailable, err)
	}
	if c.name != "" {
		req.Header.Set(clientHeader, c.name)
	}
	// Without GetBody the transport cannot send a write a second time.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, k.fail(k.lostCode(err), err)
	}
	defer resp.Body.Close()
	most := int64(maxReply)
	if k.list {
		most = maxListReply
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err == nil && int64(len(body)) > most {
		err = &SizeError{Limit: most}
	}
	if err != nil {
		return 0, nil, k.fail(k.lostCode(err), err)
	}
	return resp.StatusCode, body, nil
}

// lostCode tells a call that never left this host from one whose effect is
// not known.
func (k call) lostCode(err error) port.StoreCode {
	var op *net.OpError
	if !k.write || errors.As(err, &op) && op.Op == "dial" {
		return port.StoreUnavailable
	}
	return port.StoreUnknown
}

func (k call) fail(code port.StoreCode, err error) error {
	return &port.StoreError{Code: code, Op: k.op, Key: k.key, Err: err}
}

func (k call) unexpected(status int, body []byte) error {
	err := &StatusError{Status: status, Body: string(body)}
	switch status {
	case http.StatusNotFound:
		return k.fail(port.StoreNotFound, err)
	case http.StatusRequestEntityTooLarge:
		return k.fail(port.StoreTooLarge, err)
	}
	return k.fail(port.StoreUnavailable, err)
}

func kvPath(key string) string { return "/v1/kv/" + key }

// Get implements port.Platform.
func (c *Client) Get(ctx context.Context, key string) (port.Entry, error) {
	k := call{op: "get", method: http.MethodGet, path: kvPath(key), key: key}
	pairs, err := c.pairs(ctx, k)
	if err != nil {
		return port.Entry{}, err
	}
	return pairs[0], nil
}

// List implements port.Platform.
func (c *Client) List(ctx context.Context, prefix string) ([]port.Entry, error) {
	k := call{op: "list", method: http.MethodGet, path: kvPath(prefix), key: prefix, query: url.Values{"recurse": {"true"}}, list: true}
	pairs, err := c.pairs(ctx, k)
	if port.IsStoreCode(err, port.StoreNotFound) {
		return nil, nil
	}
	return pairs, err
}

// Watch implements port.Platform.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (port.Entry, error) {
	q := url.Values{"index": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	k := call{op: "watch", method: http.MethodGet, path: kvPath(key), key: key, query: q, wait: wait}
	pairs, err := c.pairs(ctx, k)
	if port.IsStoreCode(err, port.StoreNotFound) {
		return port.Entry{Key: key}, nil
	}
	if err != nil {
		return port.Entry{}, err
	}
	return pairs[0], nil
}

func (c *Client) pairs(ctx context.Context, k call) ([]port.Entry, error) {
	status, body, err := c.do(ctx, k)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, k.unexpected(status, body)
	}
	var pairs []kvPair
	if err := json.Unmarshal(body, &pairs); err != nil || len(pairs) == 0 {
		return nil, k.fail(port.StoreUnavailable, &StatusError{Status: status, Body: "malformed list of keys"})
	}
	out := make([]port.Entry, 0, len(pairs))
	for _, p := range pairs {
		out = append(out, port.Entry{Key: p.Key, Value: p.Value, Revision: p.ModifyIndex, Lease: port.LeaseID(p.Session)})
	}
	return out, nil
}

// CompareAndSwap implements port.Platform.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) error {
	k := call{
		op: "compare-and-swap", method: http.MethodPut, path: kvPath(key), key: key, body: value, write: true,
		query: url.Values{"cas": {strconv.FormatUint(revision, 10)}},
	}
	if len(value) > MaxValue {
		return k.fail(port.StoreTooLarge, &StatusError{Status: http.StatusRequestEntityTooLarge, Body: "value over 1 MiB"})
	}
	return c.mustBeTrue(ctx, k)
}

// Delete implements port.Platform.
func (c *Client) Delete(ctx context.Context, key string, revision uint64) error {
	return c.mustBeTrue(ctx, call{
		op: "delete", method: http.MethodDelete, path: kvPath(key), key: key, write: true,
		query: url.Values{"cas": {strconv.FormatUint(revision, 10)}},
	})
}

func (c *Client) mustBeTrue(ctx context.Context, k call) error {
	ok, err := c.boolean(ctx, k)
	if err == nil && !ok {
		return k.fail(port.StoreConflict, nil)
	}
	return err
}

func (c *Client) boolean(ctx context.Context, k call) (bool, error) {
	status, body, err := c.do(ctx, k)
	if err != nil {
		return false, err
	}
	if status != http.StatusOK {
		return false, k.unexpected(status, body)
	}
	switch string(bytes.TrimSpace(body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	bad := &StatusError{Status: status, Body: "neither true nor false"}
	return false, k.fail(k.lostCode(bad), bad)
}

// sessionBody is a lease in the service's JSON.
type sessionBody struct {
	ID       string `json:",omitempty"`
	TTL      string `json:",omitempty"`
	Behavior string `json:",omitempty"`
}

// GrantLease implements port.Platform.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	body, err := json.Marshal(sessionBody{TTL: ttl.String(), Behavior: "delete"})
	if err != nil {
		return "", &port.StoreError{Code: port.StoreUnavailable, Op: "grant-lease", Err: err}
	}
	k := call{op: "grant-lease", method: http.MethodPut, path: "/v1/session/create", body: body, write: true}
	status, reply, err := c.do(ctx, k)
	if err != nil {
		return "", err
	}
	var out sessionBody
	if status != http.StatusOK || json.Unmarshal(reply, &out) != nil || out.ID == "" {
		return "", k.unexpected(status, reply)
	}
	return port.LeaseID(out.ID), nil
}

// RenewLease implements port.Platform.
func (c *Client) RenewLease(ctx context.Context, id port.LeaseID) error {
	return c.session(ctx, "renew", id)
}

// RevokeLease implements port.Platform.
func (c *Client) RevokeLease(ctx context.Context, id port.LeaseID) error {
	return c.session(ctx, "destroy", id)
}

func (c *Client) session(ctx context.Context, verb string, id port.LeaseID) error {
	k := call{op: verb + "-lease", method: http.MethodPut, path: "/v1/session/" + verb + "/" + string(id), key: string(id), write: true}
	status, body, err := c.do(ctx, k)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return k.unexpected(status, body)
	}
	return nil
}

// Acquire implements port.Platform.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, id port.LeaseID) (bool, error) {
	return c.boolean(ctx, call{
		op: "acquire", method: http.MethodPut, path: kvPath(key), key: key, body: value, write: true,
		query: url.Values{"acquire": {string(id)}},
	})
}
