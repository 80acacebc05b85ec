// Package hostlist reads the platform's list of live and leaving hosts over
// HTTP. The list lags behind the hosts.
package hostlist

import (
	"context"
	"fmt"
	"net/http"

	"cassiatray/internal/adapter/httpclient"
	"cassiatray/internal/port"
)

// Path is where the platform serves its list.
const Path = "/v1/hosts"

// maxList bounds a list, in bytes.
const maxList = 4 << 20

// maxHead bounds the head of an answer, in bytes.
const maxHead = 64 << 10

// Client implements port.HostList.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client of the list at an address ("ip:port").
func New(address string) *Client {
	return &Client{url: "http://" + address + Path, http: httpclient.New(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHead})}
}

// Error is a failed read of the list.
type Error struct {
	URL string
	// Status is the HTTP status, or zero when there was no answer.
	Status int
	Err    error
}

func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("host list %s: status %d", e.URL, e.Status)
	}
	return fmt.Sprintf("host list %s: %v", e.URL, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// List is the platform's answer. Hosts is never null.
type List struct {
	Hosts []port.ListedHost `json:"hosts"`
}

// Hosts implements port.HostList.
//
// Errors: *Error. A list that is not whole is an error, never a short list.
func (c *Client) Hosts(ctx context.Context) ([]port.ListedHost, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, &Error{URL: c.url, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &Error{URL: c.url, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &Error{URL: c.url, Status: resp.StatusCode}
	}
	hosts, err := Decode(resp.Body)
	if err != nil {
		return nil, &Error{URL: c.url, Status: resp.StatusCode, Err: err}
	}
	return hosts, nil
}
