package port

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// BackendRequest is one request to a backend server, with its body whole.
type BackendRequest struct {
	// Service is the service that the server belongs to.
	Service  string
	Method   string
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte
	// RequestID is echoed by the server and checked in its answer.
	RequestID string
	// Deadline is passed to the server as the time left.
	Deadline time.Time
	// MaxAnswer bounds the answer's body, in bytes.
	MaxAnswer int64
	// Execution is the execution rule of the request's class; a transport
	// must not send an at-most-once request twice.
	AtMostOnce bool
}

// BackendAnswer is one whole answer of a backend server.
type BackendAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	// Leaving is set when the server said that it is draining.
	Leaving bool
	// Boot identifies the server's process; empty when it does not say.
	Boot string
	// Load is the load the server reported with the answer; nil when absent.
	Load *BackendLoad
}

// BackendLoad is a server's own report of its load. It may lag or mislead.
type BackendLoad struct {
	Slots    int
	InFlight int
}

// BackendHealth is a server's answer to a health probe. It may lag or mislead.
type BackendHealth struct {
	Healthy bool
	Leaving bool
	Boot    string
}

// BackendProber asks backend servers for their health.
//
// Errors: *BackendError.
type BackendProber interface {
	Probe(ctx context.Context, address string) (*BackendHealth, error)
}

// Backend sends requests to backend servers by address ("ip:port").
//
// Errors: *BackendError, which says whether any byte may have reached the
// server.
type Backend interface {
	Do(ctx context.Context, address string, req *BackendRequest) (*BackendAnswer, error)
}

// BackendCode classifies failed requests to backend servers.
type BackendCode string

// Codes of BackendError.
const (
	// BackendConnect means that no connection was made: nothing was sent.
	BackendConnect BackendCode = "connect"
	// BackendRefused means that no process listens: nothing was sent.
	BackendRefused BackendCode = "refused"
	// BackendShed means that the server refused the request because of its
	// load. NotRun says whether it also said that it did not run it.
	BackendShed BackendCode = "shed"
	// BackendBroken means that the connection broke after sending began.
	BackendBroken BackendCode = "broken"
	// BackendTimeout means that the deadline passed after sending began.
	BackendTimeout BackendCode = "timeout"
	// BackendMismatch means that the answer belongs to another request.
	BackendMismatch BackendCode = "mismatch"
	// BackendShort means that the answer's body was cut short.
	BackendShort BackendCode = "short"
	// BackendTooLarge means that the answer was over its limit.
	BackendTooLarge BackendCode = "too-large"
	// BackendCanceled means that the caller gave up after sending began.
	BackendCanceled BackendCode = "canceled"
	// BackendRestarted means that the server closed all kept connections, so that
	// another process may serve the address: nothing was sent.
	BackendRestarted BackendCode = "restarted"
	// BackendNoRoom means that there was no memory for the answer.
	BackendNoRoom BackendCode = "no-memory"
	// BackendSuspect means that the request was refused, since servers that
	// ran it crashed: nothing was sent.
	BackendSuspect BackendCode = "suspect"
	// BackendWithdrawn means that the request may not go to the server any more: nothing was
	// sent (ForwardRequest.Admit).
	BackendWithdrawn BackendCode = "withdrawn"
)

// BackendError is a failed request to a backend server.
type BackendError struct {
	// Meta is what the head of an answer said that was not whole.
	Meta    ServerMeta
	Code    BackendCode
	Address string
	// Sent is set once a byte of the request may have left this host.
	Sent bool
	// NotRun is set when the server itself said that it did not run the
	// request.
	NotRun bool
	// ResetAtOnce is set when the server reset a new connection as soon as it got the request.
	ResetAtOnce bool
	// RetryAfter is how long the server asks to be left alone; zero when it
	// does not say.
	RetryAfter time.Duration
	Err        error
}

func (e *BackendError) Error() string {
	return fmt.Sprintf("backend %s: %s (sent=%t): %v", e.Address, e.Code, e.Sent, e.Err)
}

func (e *BackendError) Unwrap() error { return e.Err }

// EndedByServer reports whether the server's host ended the exchange by closing or resetting the
// connection. Otherwise the server may not know of the end, and may still run the request.
func (e *BackendError) EndedByServer() bool {
	return (e.Code == BackendBroken || e.Code == BackendShort) && !errors.Is(e.Err, syscall.ETIMEDOUT)
}
