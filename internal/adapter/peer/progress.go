package peer

import (
	"bufio"
	"context"
	"io"
	"time"

	"github.com/hashicorp/yamux"

	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// outcome is how the reading of a reply ended.
type outcome struct {
	reply *peerv1.Reply
	err   error
}

// callWithProgress is Call with bounds on how the reply comes in.
func (p *Pool) callWithProgress(ctx context.Context, address string, req *peerv1.Request, bounds port.Progress) (*peerv1.Reply, error) {
	awaiting, cancel := context.WithTimeout(ctx, bounds.First)
	defer cancel()
	stream, err := p.begin(awaiting, address, req)
	if err != nil {
		return nil, err
	}
	stream.SetDeadline(time.Time{})
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	came, done := make(chan struct{}, 1), make(chan outcome, 1)
	// A read of a yamux stream outlasts its deadline while a frame of the stream is partly
	// received, so the bounds are kept outside of it. The read then ends with the frame, or with
	// the session when that misses a ping.
	exchange := &peerv1.Request{ExchangeId: req.ExchangeId, ToIncarnation: req.ToIncarnation}
	go func() {
		defer context.AfterFunc(ctx, func() { stream.SetDeadline(time.Now()) })()
		reply, err := readReply(ctx, bufio.NewReader(&arrivals{ctx: ctx, stream: stream, came: came}), address, exchange)
		stream.Close()
		done <- outcome{reply, err}
	}()
	first, _ := awaiting.Deadline()
	return awaitReply(ctx, address, time.Until(first), bounds.Stall, came, done)
}

// awaitReply waits for a reply that is being read: for its first byte, and then for as long as
// bytes keep coming.
func awaitReply(ctx context.Context, address string, first, stall time.Duration, came <-chan struct{}, done <-chan outcome) (*peerv1.Reply, error) {
	timer := time.NewTimer(first)
	defer timer.Stop()
	late := port.ErrNoReply
	for {
		select {
		case o := <-done:
			return o.reply, o.err
		case <-ctx.Done():
			return nil, callError(ctx, address, ctx.Err())
		case <-came:
		case <-timer.C:
			// What came in time counts also if this goroutine runs late.
			select {
			case o := <-done:
				return o.reply, o.err
			case <-came:
			default:
				return nil, &port.PeerError{Code: port.PeerTimeout, Address: address, Sent: true, Err: late}
			}
		}
		late = port.ErrStalled
		timer.Reset(stall)
	}
}

// arrivals reads a stream until its context ends, and tells of each read that brought bytes.
type arrivals struct {
	ctx    context.Context
	stream *yamux.Stream
	came   chan<- struct{}
}

func (a *arrivals) Read(p []byte) (int, error) {
	// A stream returns what it has buffered also after its deadline.
	if err := a.ctx.Err(); err != nil {
		return 0, err
	}
	n, err := a.stream.Read(p)
	if n > 0 {
		select {
		case a.came <- struct{}{}:
		default:
		}
	}
	return n, err
}

// replyPiece is how much of a reply is written as one frame of the stream, in bytes. The other
// side sees a frame only once all of it has come.
const replyPiece = 16 << 10

// deadlineWriter is the part of a stream that replies are written to.
type deadlineWriter interface {
	io.Writer
	SetWriteDeadline(time.Time) error
}

// replyWriter writes one reply in pieces, each within writeTimeout, and all of them before until.
type replyWriter struct {
	to    deadlineWriter
	until time.Time
}

func newReplyWriter(to deadlineWriter) *replyWriter {
	return &replyWriter{to: to, until: time.Now().Add(ReplyMost)}
}

func (w *replyWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		deadline := time.Now().Add(writeTimeout)
		if w.until.Before(deadline) {
			deadline = w.until
		}
		if err := w.to.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := w.to.Write(p[written:min(len(p), written+replyPiece)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
