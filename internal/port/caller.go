package port

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"cassiatray/api"
)

// CallerRequest is one request of a caller, with its body whole.
type CallerRequest struct {
	Service  string
	Method   string
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte
	// OperationID is the text the caller sent; empty when none.
	OperationID string
	// Client is the address that the caller's look-ups are made for; not valid
	// when it did not say.
	Client netip.Addr
	// Timeout is how long the caller waits; zero when it did not say.
	Timeout time.Duration
}

// CallerAnswer is one whole answer to a caller.
type CallerAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	// Server is the backend server that ran the request.
	Server string
	// Host is the entry host that dispatched the request.
	Host string
}

// CallerService is what an entry host does for callers.
type CallerService interface {
	// Lookup names the entry hosts that a client address should use.
	Lookup(service string, client netip.Addr) (*api.Lookup, *api.Error)
	// Limit returns the largest body that a request may have, in bytes.
	Limit(service, method, path string) (int64, *api.Error)
	// Do runs one request.
	Do(ctx context.Context, req *CallerRequest) (*CallerAnswer, *api.Error)
	// Refuse settles the operation of a request that is refused with fail, and
	// returns fail with the outcome that is true for the operation. The ID may
	// be empty or no ID.
	Refuse(ctx context.Context, operationID string, fail *api.Error) *api.Error
	// Leaving reports whether this host is stopping: callers are then told not
	// to reuse their connections.
	Leaving() bool
}
