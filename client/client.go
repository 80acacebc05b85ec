// Package client is the Go package for callers of a cassiatray system. It
// looks up entry hosts, keeps the answers for their time to live, makes
// operation IDs and sends requests.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"cassiatray/api"
)

// Config sets up a Client.
type Config struct {
	// Bootstrap are caller addresses ("ip:port") of any entry hosts.
	Bootstrap []string
	// Address is the caller's own address, which look-ups are made for.
	Address netip.Addr
	// HTTP sends requests; nil means a client with default settings.
	HTTP *http.Client
}

// Client is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client

	mu      sync.Mutex
	answers map[string]cached
}

type cached struct {
	lookup  *api.Lookup
	expires time.Time
}

// New returns a client with no answers cached.
func New(cfg Config) *Client {
	h := cfg.HTTP
	if h == nil {
		h = &http.Client{}
	}
	return &Client{cfg: cfg, http: h, answers: map[string]cached{}}
}

// LookupError means that no entry host answered a look-up.
type LookupError struct {
	Service string
	Err     error
}

func (e *LookupError) Error() string { return fmt.Sprintf("look-up of %s: %v", e.Service, e.Err) }

func (e *LookupError) Unwrap() error { return e.Err }

// Lookup returns the entry hosts for a service, from the cache while the last
// answer may be used.
//
// Errors: *LookupError, wrapping *api.Error when a host refused.
func (c *Client) Lookup(ctx context.Context, service string) (*api.Lookup, error) {
	c.mu.Lock()
	old, ok := c.answers[service]
	c.mu.Unlock()
	if ok && time.Now().Before(old.expires) {
		return old.lookup, nil
	}
	var last error
	for _, address := range c.contacts(old.lookup) {
		answer, err := c.lookupAt(ctx, address, service)
		if err == nil {
			c.keep(service, answer)
			return answer, nil
		}
		last = err
	}
	return nil, &LookupError{Service: service, Err: last}
}

// contacts lists hosts to ask: those of an expired answer, then the bootstrap
// list.
func (c *Client) contacts(old *api.Lookup) []string {
	var out []string
	if old != nil {
		for _, h := range old.Hosts {
			out = append(out, h.Address)
		}
	}
	return append(out, c.cfg.Bootstrap...)
}

func (c *Client) keep(service string, answer *api.Lookup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ttl := time.Duration(answer.TTLMillis) * time.Millisecond
	c.answers[service] = cached{lookup: answer, expires: time.Now().Add(ttl)}
}

func (c *Client) lookupAt(ctx context.Context, address, service string) (*api.Lookup, error) {
	target := "http://" + address + "/v1/lookup/" + url.PathEscape(service) + "?client=" + c.cfg.Address.String()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, decodeError(resp, body)
	}
	out := new(api.Lookup)
	if err := json.Unmarshal(body, out); err != nil {
		return nil, err
	}
	return out, nil
}

func decodeError(resp *http.Response, body []byte) *api.Error {
	out := new(api.Error)
	if json.Unmarshal(body, out) != nil || out.Code == "" {
		return &api.Error{Code: api.CodeInternal, Message: resp.Status, Outcome: api.OutcomeUnknown}
	}
	return out
}

// Request is one request to a service.
type Request struct {
	Service string
	Method  string
	// Path begins with "/" and may carry a query.
	Path   string
	Header http.Header
	Body   []byte
	// Once makes this an at-most-once request: it is given an operation ID.
	Once bool
}

// Answer is one whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Host is the entry host that answered.
	Host string
	// OperationID is the ID that the request was given; empty without Once.
	OperationID string
}

// Do sends a request to the first entry host of the look-up answer that can be
// reached. A request that may have been sent is not sent elsewhere.
//
// Errors: *LookupError; *api.Error with the outcome.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	answer, err := c.Lookup(ctx, r.Service)
	if err != nil {
		return nil, err
	}
	last := &api.Error{Code: api.CodeNoServer, Message: "no entry host named", Outcome: api.OutcomeNotRun}
	for _, h := range answer.Hosts {
		out, fail := c.send(ctx, h, r)
		if fail == nil {
			return out, nil
		}
		last = fail
		if fail.Outcome != api.OutcomeNotRun || fail.Code != api.CodePeer {
			break
		}
	}
	return nil, last
}

func (c *Client) send(ctx context.Context, h api.Host, r *Request) (*Answer, *api.Error) {
	target := "http://" + h.Address + "/v1/request/" + url.PathEscape(r.Service) + r.Path
	req, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, &api.Error{Code: api.CodeBadRequest, Message: err.Error(), Outcome: api.OutcomeNotRun}
	}
	if r.Header != nil {
		req.Header = r.Header.Clone()
	}
	out := new(Answer)
	if r.Once {
		id, err := api.NewOperationID(h, time.Now())
		if err != nil {
			return nil, &api.Error{Code: api.CodeBadOperation, Message: err.Error(), Outcome: api.OutcomeNotRun}
		}
		out.OperationID = id.String()
		req.Header.Set(api.HeaderOperationID, out.OperationID)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(api.HeaderTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, sendError(err)
	}
	defer resp.Body.Close()
	out.Body, err = io.ReadAll(resp.Body)
	if err != nil {
		return nil, &api.Error{Code: api.CodePeer, Message: err.Error(), Outcome: api.OutcomeUnknown}
	}
	if resp.Header.Get(api.HeaderOutcome) != string(api.OutcomeDone) {
		return nil, decodeError(resp, out.Body)
	}
	out.Status, out.Header, out.Host = resp.StatusCode, resp.Header, resp.Header.Get(api.HeaderHost)
	return out, nil
}

func sendError(err error) *api.Error {
	out := &api.Error{Code: api.CodePeer, Message: err.Error(), Outcome: api.OutcomeUnknown}
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		out.Outcome = api.OutcomeNotRun
	case errors.Is(err, context.DeadlineExceeded):
		out.Code = api.CodeDeadline
	}
	return out
}
