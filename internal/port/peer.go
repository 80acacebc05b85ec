package port

import (
	"context"
	"errors"
	"fmt"
	"time"

	peerv1 "cassiatray/proto/peer/v1"
)

// PeerCaller sends exchanges to other cassiatray processes by peer address.
//
// Errors: *PeerError.
type PeerCaller interface {
	// Call sends one request and returns its one reply, within the deadline of the context and the
	// bounds of WithProgress.
	Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Reply, error)
	// Follow sends one request and passes each reply to fn until the stream
	// ends, the context ends or fn fails.
	Follow(ctx context.Context, address string, req *peerv1.Request, fn func(*peerv1.Reply) error) error
}

// PeerStreamer opens exchanges with other cassiatray processes in which both sides send any
// number of messages.
//
// Errors: *PeerError.
type PeerStreamer interface {
	// Open sends the first request of an exchange.
	Open(ctx context.Context, address string, req *peerv1.Request) (PeerStream, error)
}

// PeerStream is the caller's side of an exchange. It ends with the context that it was opened
// with.
//
// Errors: *PeerError.
type PeerStream interface {
	Send(*peerv1.Request) error
	// Receive waits for the next reply at most for a time.
	Receive(wait time.Duration) (*peerv1.Reply, error)
	Close() error
}

// PeerServerStream is the receiver's side of an exchange.
type PeerServerStream interface {
	Send(*peerv1.Reply) error
	// Receive returns the next message of the caller. Errors: that of the network, or of the
	// context.
	Receive(ctx context.Context) (*peerv1.Request, error)
}

// PeerCode classifies failed exchanges.
type PeerCode string

// Codes of PeerError.
const (
	// PeerConnect means that no session could be opened: nothing was sent.
	PeerConnect PeerCode = "connect"
	// PeerBroken means that the stream broke after sending began.
	PeerBroken PeerCode = "broken"
	// PeerTimeout means that the deadline passed after sending began.
	PeerTimeout PeerCode = "timeout"
	// PeerMismatch means that the reply belongs to another exchange.
	PeerMismatch PeerCode = "mismatch"
	// PeerIncarnation means that the address is now another incarnation; the
	// exchange was refused and had no effect.
	PeerIncarnation PeerCode = "incarnation"
	// PeerStopping means that the receiver is stopping and takes no exchanges;
	// the exchange had no effect.
	PeerStopping PeerCode = "stopping"
	// PeerRefused means that the receiver answered with a typed failure.
	PeerRefused PeerCode = "refused"
	// PeerNoRoom means that the receiver had no memory for the request, which it has not read.
	PeerNoRoom PeerCode = "no-memory"
	// PeerTooLarge means that a frame was over its limit.
	PeerTooLarge PeerCode = "too-large"
)

// PeerError is a failed exchange with another cassiatray process.
type PeerError struct {
	Code    PeerCode
	Address string
	// Sent is set once the request may have reached the receiver.
	Sent bool
	// Reason is the receiver's own code when Code is PeerRefused.
	Reason     string
	RetryAfter time.Duration
	Err        error
}

func (e *PeerError) Error() string {
	if e.Reason != "" {
		return fmt.Sprintf("peer %s: %s (%s): %v", e.Address, e.Code, e.Reason, e.Err)
	}
	return fmt.Sprintf("peer %s: %s (sent=%t): %v", e.Address, e.Code, e.Sent, e.Err)
}

func (e *PeerError) Unwrap() error { return e.Err }

// ErrSessionLost is the cause of an exchange's end when the whole session to
// its peer broke, so that the peer may still be at work on it.
const ErrSessionLost = sessionFault("session lost")

type sessionFault string

func (f sessionFault) Error() string { return string(f) }

// Progress bounds a call by how its reply comes in, in place of one time for all of it. The
// deadline of the call's context bounds it as a whole.
type Progress struct {
	// First is how long after the start of the call the first byte of the reply may come. The
	// receiver is told that it has this long to answer. It is positive.
	First time.Duration
	// Stall is how long nothing of the reply may come once it has begun to. It is positive.
	Stall time.Duration
}

// Causes of a PeerError with code PeerTimeout that ends a call with Progress.
const (
	// ErrNoReply means that no byte of the reply came within Progress.First.
	ErrNoReply = progressFault("no reply in time")
	// ErrStalled means that no byte of a reply that had begun came for Progress.Stall.
	ErrStalled = progressFault("reply stalled")
)

type progressFault string

func (f progressFault) Error() string { return string(f) }

type progressKey struct{}

// WithProgress returns a context for PeerCaller.Call with the bounds of p. A call that exceeds one
// fails with a *PeerError of code PeerTimeout, whose cause is ErrNoReply or ErrStalled.
func WithProgress(ctx context.Context, p Progress) context.Context {
	return context.WithValue(ctx, progressKey{}, p)
}

// ProgressOf returns the bounds that a context was given by WithProgress, if any.
func ProgressOf(ctx context.Context) (Progress, bool) {
	p, ok := ctx.Value(progressKey{}).(Progress)
	return p, ok
}

// NoEffect reports whether the receiver provably did nothing.
func (e *PeerError) NoEffect() bool {
	switch e.Code {
	case PeerIncarnation, PeerStopping, PeerNoRoom:
		return true
	}
	return !e.Sent
}

// IsPeerCode reports whether err is a PeerError with the given code.
func IsPeerCode(err error, code PeerCode) bool {
	var pe *PeerError
	return errors.As(err, &pe) && pe.Code == code
}
