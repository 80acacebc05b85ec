// Package client is the Go package for callers of a cassiatray system. It
// looks up entry hosts, keeps the answers for their time to live, makes
// operation IDs and sends requests.
//
// Do sends a request with these rules. A request without Once must be
// idempotent: it goes to the next host of the look-up answer when one fails. A
// request with Once is given an operation ID and is sent again only with that
// ID, so that it runs at most once however often it is sent. It is given a new
// ID only when the one before provably did not run and never will: its host
// said not-run, or no copy with that ID ever reached a host.
package client

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"cassiatray/api"
	"cassiatray/internal/adapter/httpclient"
)

// DefaultTimeout bounds requests whose context has no deadline.
const DefaultTimeout = 30 * time.Second

// Config sets up a Client.
type Config struct {
	// Bootstrap are caller addresses ("ip:port") of any entry hosts.
	Bootstrap []string
	// Address is the caller's own address, which look-ups are made for.
	Address netip.Addr
	// HTTP sends requests; nil means a client with default settings that also checks the heads of
	// answers as they come.
	HTTP *http.Client
	// Timeout bounds each Do and Lookup whose context has no deadline; zero
	// means DefaultTimeout.
	Timeout time.Duration
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
		h = httpclient.Default
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &Client{cfg: cfg, http: h, answers: map[string]cached{}}
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
	// Without it the request must be idempotent.
	Once bool
	// OperationID, when set, continues an earlier request whose outcome was
	// unknown: the same ID is sent and no other. It implies Once.
	OperationID string
}

// Answer is one whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Host is the entry host that answered.
	Host string
	// OperationID is the ID that the request ran under; empty without Once.
	OperationID string
}

// Error is a request without an answer. It wraps the last *api.Error.
type Error struct {
	// OperationID is the last ID that was used; empty without Once.
	OperationID string
	Err         *api.Error
}

func (e *Error) Error() string {
	if e.OperationID == "" {
		return e.Err.Error()
	}
	return "operation " + e.OperationID + ": " + e.Err.Error()
}

func (e *Error) Unwrap() error { return e.Err }

// Do sends a request and returns its one whole answer. The time left to ctx is
// passed on as the request's deadline, and cancelling ctx cancels the request.
// After an unknown outcome of an at-most-once request, a Request with the
// OperationID of the error asks for the outcome again.
//
// Errors: *LookupError; *Error, wrapping *api.Error with the outcome.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	if r.Once || r.OperationID != "" {
		return c.once(ctx, r)
	}
	lookup, err := c.Lookup(ctx, r.Service)
	if err != nil {
		return nil, err
	}
	last := noHost()
	for _, h := range lookup.Hosts {
		out, fail := c.send(ctx, h.Address, r, "")
		if fail == nil {
			return out, nil
		}
		last = fail
		if !elsewhere(fail) || ctx.Err() != nil {
			break
		}
	}
	return nil, &Error{Err: last.Error}
}

func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.cfg.Timeout)
}

// elsewhere reports whether an idempotent request may do better at another
// host. The hosts themselves retry at other servers.
func elsewhere(fail *failure) bool {
	if fail.kind != answered {
		return true
	}
	return fail.Code == api.CodeStopping || fail.Code == api.CodeNotReady || fail.Code == api.CodeTooManyConnections
}
