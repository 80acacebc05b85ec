package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"cassiatray/api"
)

// LookupError means that no entry host answered a look-up.
type LookupError struct {
	Service string
	Err     error
}

func (e *LookupError) Error() string { return fmt.Sprintf("look-up of %s: %v", e.Service, e.Err) }

func (e *LookupError) Unwrap() error { return e.Err }

// maxLookup bounds a look-up answer, in bytes.
const maxLookup = 1 << 20

// Lookup returns the entry hosts for a service, from the cache while the last
// answer may be used. It asks the hosts of the last answer, then those of the
// bootstrap list.
//
// Errors: *LookupError, wrapping *api.Error when a host refused.
func (c *Client) Lookup(ctx context.Context, service string) (*api.Lookup, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	old := c.cached(service)
	if old.lookup != nil && time.Now().Before(old.expires) {
		return old.lookup, nil
	}
	last := error(noHost().Error)
	for _, address := range c.contacts(old.lookup) {
		answer, err := c.lookupAt(ctx, address, service)
		if err == nil {
			c.keep(service, answer)
			return answer, nil
		}
		last = err
		if refused(err) {
			break
		}
	}
	return nil, &LookupError{Service: service, Err: last}
}

// refused reports whether other hosts would refuse a look-up as well.
func refused(err error) bool {
	var e *api.Error
	return errors.As(err, &e) && (e.Code == api.CodeUnknownService || e.Code == api.CodeBadClient)
}

func (c *Client) cached(service string) cached {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[service]
}

func (c *Client) keep(service string, answer *api.Lookup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ttl := time.Duration(answer.TTLMillis) * time.Millisecond
	c.answers[service] = cached{lookup: answer, expires: time.Now().Add(ttl)}
}

// expire makes the next Lookup ask again.
func (c *Client) expire(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[service] = cached{lookup: c.answers[service].lookup}
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

func (c *Client) lookupAt(ctx context.Context, address, service string) (*api.Lookup, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	target := "http://" + address + "/v1/lookup/" + url.PathEscape(service) + "?client=" + c.cfg.Address.String()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	body, err := readAll(resp, maxLookup)
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

// hostTimeout bounds how long one host may take to answer a look-up.
const hostTimeout = 2 * time.Second
