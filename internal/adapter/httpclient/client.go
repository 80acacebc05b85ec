// Package httpclient makes clients of net/http that take no broken response for a whole one. Heads
// and trailers are checked, and a stream ends only if its connection has not failed.
package httpclient

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"

	"cassiatray/internal/adapter/headlimit"
	"cassiatray/internal/port"
)

// Default is a client with the settings of http.DefaultClient.
var Default = New(http.DefaultTransport.(*http.Transport).Clone())

// Transport is an http.Transport that checks responses.
type Transport struct{ *http.Transport }

// New returns a client over t, whose connections it checks.
func New(t *http.Transport) *http.Client {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if _, ok := nc.(expecter); ok {
			return nc, nil
		}
		return NewConn(nc), nil
	}
	return &http.Client{Transport: &Transport{t}}
}

type gotConnKey struct{}

// WithConn returns a context in which a request calls got with each connection that it is given. A
// second trace beside that of RoundTrip would cost more.
func WithConn(ctx context.Context, got func(net.Conn)) context.Context {
	return context.WithValue(ctx, gotConnKey{}, got)
}

// RoundTrip implements http.RoundTripper.
//
// Errors: *port.StatusError, and those of http.Transport, which wrap *headlimit.MalformedError.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	got, _ := ctx.Value(gotConnKey{}).(func(net.Conn))
	var nc net.Conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		nc = info.Conn
		if c, ok := nc.(expecter); ok {
			c.ExpectResponse()
		}
		if got != nil {
			got(nc)
		}
	}})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if !port.IsFinalStatus(resp.StatusCode) {
		resp.Body.Close()
		if nc != nil {
			// What follows on it cannot be told apart.
			nc.Close()
		}
		return nil, &port.StatusError{Status: resp.StatusCode}
	}
	headlimit.CheckTrailer(resp)
	return resp, nil
}

// UnframedError is a response that only the end of its connection ends.
type UnframedError struct{ Status int }

func (e *UnframedError) Error() string { return fmt.Sprintf("response %d without a length", e.Status) }

// CheckResponse checks a response of a process of this system, whatever client read it: all of these
// have a final status and say where they end, and their fields have valid names.
//
// Errors: *port.StatusError, *UnframedError, *headlimit.MalformedError.
func CheckResponse(resp *http.Response) error {
	if !port.IsFinalStatus(resp.StatusCode) {
		return &port.StatusError{Status: resp.StatusCode}
	}
	if resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		return &UnframedError{Status: resp.StatusCode}
	}
	return headlimit.CheckFields(resp.Header)
}
