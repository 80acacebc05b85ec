package peer

import (
	"bufio"
	"context"
	"time"

	"github.com/hashicorp/yamux"

	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// streamStall is how long the other side of a two-way exchange may take none of a message.
const streamStall = 30 * time.Second

// StreamHandler answers exchanges in which both sides send any number of messages. A Handler
// may implement it.
type StreamHandler interface {
	// ServeStream answers a RelayOffer. The context ends when the peer closes the stream; its
	// cause is port.ErrSessionLost when the session to the peer broke. An error becomes a
	// typed failure.
	ServeStream(ctx context.Context, req *peerv1.Request, s port.PeerServerStream) error
}

// clientStream implements port.PeerStream.
type clientStream struct {
	stream  *yamux.Stream
	r       *bufio.Reader
	ctx     context.Context
	address string
	opened  *peerv1.Request
	stop    func() bool
}

// Open implements port.PeerStreamer.
func (p *Pool) Open(ctx context.Context, address string, req *peerv1.Request) (port.PeerStream, error) {
	stream, err := p.begin(ctx, address, req)
	if err != nil {
		return nil, err
	}
	s := &clientStream{stream: stream, r: bufio.NewReader(stream), ctx: ctx, address: address, opened: req}
	s.stop = context.AfterFunc(ctx, func() { stream.SetDeadline(time.Now()) })
	return s, nil
}

// Send implements port.PeerStream.
func (s *clientStream) Send(req *peerv1.Request) error {
	req.ExchangeId = s.opened.ExchangeId
	if err := writeFrame(s.stream, req); err != nil {
		return callError(s.ctx, s.address, err)
	}
	return nil
}

// Receive implements port.PeerStream.
func (s *clientStream) Receive(wait time.Duration) (*peerv1.Reply, error) {
	by := time.Now().Add(wait)
	if deadline, ok := s.ctx.Deadline(); ok && deadline.Before(by) {
		by = deadline
	}
	s.stream.SetReadDeadline(by)
	if s.ctx.Err() != nil {
		s.stream.SetReadDeadline(time.Now())
	}
	return readReply(s.ctx, s.r, s.address, s.opened)
}

// Close implements port.PeerStream.
func (s *clientStream) Close() error {
	s.stop()
	return s.stream.Close()
}

// serverStream implements port.PeerServerStream.
type serverStream struct {
	send     func(*peerv1.Reply) error
	messages chan *peerv1.Request
	// broken is closed when no more messages come; err is why.
	broken chan struct{}
	err    error
}

// Send implements port.PeerServerStream.
func (s *serverStream) Send(reply *peerv1.Reply) error { return s.send(reply) }

// Receive implements port.PeerServerStream.
func (s *serverStream) Receive(ctx context.Context) (*peerv1.Request, error) {
	select {
	case m := <-s.messages:
		return m, nil
	default:
	}
	select {
	case m := <-s.messages:
		return m, nil
	case <-s.broken:
		return nil, s.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pump reads messages until the peer closes the stream. Messages that are not received yet
// hold up the peer.
func (s *serverStream) pump(ctx context.Context, r *bufio.Reader, h *held) {
	defer close(s.broken)
	for {
		m := new(peerv1.Request)
		size, err := h.readRequest(r, m)
		if err != nil {
			h.release(size)
			s.err = err
			return
		}
		select {
		case s.messages <- m:
			h.release(size)
		case <-ctx.Done():
			h.release(size)
			s.err = ctx.Err()
			return
		}
	}
}

// serveStream answers a two-way exchange.
func (s *Server) serveStream(ctx context.Context, cancel context.CancelCauseFunc, mux *yamux.Session, stream *yamux.Stream, r *bufio.Reader, req *peerv1.Request) error {
	h, ok := s.handler.(StreamHandler)
	if !ok {
		return &port.PeerError{Code: port.PeerRefused, Reason: "not for this process"}
	}
	if s.draining.Load() {
		return &port.PeerError{Code: port.PeerStopping}
	}
	ss := &serverStream{messages: make(chan *peerv1.Request), broken: make(chan struct{})}
	ss.send = func(reply *peerv1.Reply) error {
		reply.ExchangeId = req.ExchangeId
		reply.FromIncarnation = s.self.Incarnation
		stream.SetWriteDeadline(time.Now().Add(streamStall))
		return writeFrame(stream, reply)
	}
	s.wg.Go(func() {
		ss.pump(ctx, r, &s.held)
		if mux.IsClosed() {
			cancel(port.ErrSessionLost)
		}
		cancel(nil)
	})
	return h.ServeStream(ctx, req, ss)
}
