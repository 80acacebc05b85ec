package port

import (
	"context"
	"io"
	"net/http"
)

// ForwardRequest is one request of a caller on its way to a backend server.
type ForwardRequest struct {
	Method string
	// URI is the request target as the caller sent it.
	URI  string
	Host string
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the body's begin, or all of it when Rest is nil. Size is that of
	// the whole body, or -1 when it is not known before its end. Rest fails with a
	// *BodyError, which ends the exchange with BackendCanceled.
	Body []byte
	Rest io.Reader
	Size int64
	// Hold is asked for room to keep bytes of the answer, and told of bytes that are no longer
	// kept (negative). What gets no room is streamed. Nil gives room for all.
	Hold AnswerHolder
	// ID is echoed by the server; an answer with another one is not ours.
	ID string
	// Fresh asks for a connection on which nothing was sent before.
	Fresh bool
	// SameProcess asks for a BackendRestarted error in place of a new connection if the
	// server closed all kept ones, as a process that ends does.
	SameProcess bool
	// Admit is called once there is a connection, right before the first byte is sent. Its error
	// ends the exchange with BackendWithdrawn, and nothing is sent. Nil admits the request.
	Admit func() error
}

// AnswerHolder decides how much of an answer is kept in memory.
type AnswerHolder interface {
	// HoldBytes asks for room for bytes, or frees them if negative.
	HoldBytes(bytes int) bool
	// HoldHead counts the bytes of the answer's head, which is kept in any case.
	HoldHead(bytes int)
}

// HoldBytes calls Hold.
func (r *ForwardRequest) HoldBytes(bytes int) bool { return r.Hold == nil || r.Hold.HoldBytes(bytes) }

// HoldHead calls Hold.
func (r *ForwardRequest) HoldHead(bytes int) {
	if r.Hold != nil && bytes > 0 {
		r.Hold.HoldHead(bytes)
	}
}

// BodyError is a request's body that cannot be read to its end. Whoever passes the body on has
// done nothing wrong.
type BodyError struct{ Err error }

func (e *BodyError) Error() string { return "request body broken off: " + e.Err.Error() }

func (e *BodyError) Unwrap() error { return e.Err }

// ForwardAnswer is an answer of a backend server.
type ForwardAnswer struct {
	Status int
	Header http.Header
	Meta   ServerMeta
	// Body is the whole body, or its begin when Rest is set. Closing Rest ends
	// the exchange.
	//
	// Errors of Rest: *BackendError.
	Body []byte
	Rest io.ReadCloser
	// Unframed is set when the end of the connection ends the body: whether it is whole cannot
	// be told.
	Unframed bool
	// Closing is set when the server closes the connection after the answer.
	Closing bool
	// Opened is set when the exchange opened a connection.
	Opened bool
	// Conn tells of a refusal's connection.
	Conn ConnUse
}

// ConnUse describes the connection that a refusal came on.
type ConnUse struct {
	// Local is its local address ("ip:port").
	Local string
	// Answers came on it before, and Skipped to other requests where this one was due.
	Answers, Skipped int
}

// Forwarder sends requests to backend servers by address ("ip:port").
//
// Errors: *BackendError, which says whether any byte may have reached the
// server.
type Forwarder interface {
	Forward(ctx context.Context, address string, req *ForwardRequest) (*ForwardAnswer, error)
}

// Prober asks backend servers for their health.
//
// Errors: *BackendError.
type Prober interface {
	Probe(ctx context.Context, address, path string) (meta ServerMeta, status int, err error)
	// Connect opens a connection, for a later exchange.
	Connect(ctx context.Context, address string) error
	// Kept looks at the idle connections to a server without sending anything.
	Kept(address string) KeptState
}

// KeptState says what has become of the idle connections to a server.
type KeptState int

// Values of KeptState.
const (
	// KeptNone means that there are no idle connections.
	KeptNone KeptState = iota
	// KeptOpen means that the server has left one open at least: its process runs.
	KeptOpen
	// KeptClosed means that the server has closed them all. Its process may have ended.
	KeptClosed
)
