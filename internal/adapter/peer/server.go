package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"cassiatray/internal/core/membudget"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// Limits of a session.
const (
	// streamBacklog bounds streams that a peer opened and this side has not
	// yet accepted.
	streamBacklog = 256
	// keepAlive is the interval of yamux pings; a peer that misses one for
	// writeTimeout is cut. It also bounds how long a peer may take in nothing of a reply.
	keepAlive    = 5 * time.Second
	writeTimeout = 5 * time.Second
	// firstFrameTimeout bounds how long a peer may take to send its request.
	firstFrameTimeout = 5 * time.Second
)

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = streamBacklog
	cfg.KeepAliveInterval = keepAlive
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// Handler answers exchanges.
type Handler interface {
	// Serve answers one request. The reply's identity is filled in by the
	// server. An error becomes a typed failure.
	Serve(ctx context.Context, req *peerv1.Request) (*peerv1.Reply, error)
	// ServeFollow answers a Follow or SlotAcquire request with any number of
	// replies until it returns. The cause of the context is
	// port.ErrSessionLost when the session to the peer broke.
	ServeFollow(ctx context.Context, req *peerv1.Request, send func(*peerv1.Reply) error) error
}

// Server accepts sessions from peers.
type Server struct {
	// Budget bounds what requests of peers and their answers hold; nil for no bound but that of
	// LimitHeld. It is set before Start.
	Budget  *membudget.Budget
	self    Identity
	handler Handler
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	held    held
	// inFlight counts exchanges that are not yet answered, but for Follow.
	inFlight atomic.Int64
	// draining is set once no new exchange is taken.
	draining atomic.Bool
	mu       sync.Mutex
	listener net.Listener
	sessions map[*yamux.Session]struct{}
}

// NewServer returns a server that presents itself as self.
func NewServer(self Identity, handler Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{self: self, handler: handler, ctx: ctx, cancel: cancel, sessions: map[*yamux.Session]struct{}{}}
}

// Start accepts sessions on a listener until Close.
func (s *Server) Start(l net.Listener) {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	s.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.wg.Go(func() { s.session(conn) })
		}
	})
}

// Close cuts all sessions and waits for their handlers.
func (s *Server) Close() error {
	s.cancel()
	s.mu.Lock()
	if s.listener != nil {
		s.listener.Close()
	}
	open := slices.Collect(maps.Keys(s.sessions))
	s.mu.Unlock()
	for _, mux := range open {
		mux.Close()
	}
	s.wg.Wait()
	return nil
}

func (s *Server) session(conn net.Conn) {
	mux, err := yamux.Server(conn, muxConfig())
	if err != nil {
		conn.Close()
		return
	}
	defer mux.Close()
	if !s.add(mux) {
		return
	}
	defer s.remove(mux)
	// A peer over its streams is not accepted from until one ends: what it has
	// opened beyond that waits in yamux, which bounds it by streamBacklog.
	slots := make(chan struct{}, maxStreams)
	replies := newSending()
	for {
		slots <- struct{}{}
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		s.wg.Go(func() {
			defer func() { <-slots }()
			s.stream(mux, stream, replies)
		})
	}
}

func (s *Server) add(mux *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil || len(s.sessions) >= maxSessions {
		return false
	}
	s.sessions[mux] = struct{}{}
	return true
}

func (s *Server) remove(mux *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, mux)
}

func (s *Server) stream(mux *yamux.Session, stream *yamux.Stream, replies sending) {
	defer stream.Close()
	stream.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	r := bufio.NewReader(stream)
	req := new(peerv1.Request)
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	hold := s.newHolder()
	defer hold.Release()
	size, err := s.held.readHeld(r, req, hold)
	defer s.held.release(size)
	if err != nil {
		if port.IsPeerCode(err, port.PeerNoRoom) {
			s.refuseUnread(stream, err)
		}
		return
	}
	if size > smallMessage {
		// The stream stays open until the answer, with the buffer of its window.
		stream.Shrink()
	}
	ctx, stop := s.context(req)
	ctx = membudget.NewContext(ctx, hold)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream.SetReadDeadline(time.Time{})
	send := func(reply *peerv1.Reply) error {
		if s.Budget != nil {
			// The reply, and its encoded form.
			size := 2 * int64(proto.Size(reply))
			hold.Force(size)
			defer hold.Shrink(size)
			end, err := replies.begin(ctx, size/2)
			if err != nil {
				return err
			}
			defer end()
		}
		reply.ExchangeId = req.ExchangeId
		reply.FromIncarnation = s.self.Incarnation
		return writeFrame(newReplyWriter(stream), reply)
	}
	if req.GetRelayOffer() != nil {
		if err := s.serveStream(ctx, cancel, mux, stream, r, req); err != nil {
			send(&peerv1.Reply{Failure: failureOf(err)})
		}
		return
	}
	// The peer sends nothing after its request, so a read ends only when the
	// peer closes or resets the stream: that cancels the exchange. When the
	// whole session is gone the peer may not have meant it.
	s.wg.Go(func() {
		r.ReadByte()
		if mux.IsClosed() {
			cancel(port.ErrSessionLost)
		}
		cancel(nil)
	})
	if err := s.answer(ctx, req, send); err != nil {
		send(&peerv1.Reply{Failure: failureOf(err)})
	}
}

// newHolder returns what counts the bytes of one exchange. It is not ended for others: its peer
// waits for the answer.
func (s *Server) newHolder() *membudget.Holder {
	hold := new(membudget.Holder)
	now := time.Now()
	hold.Init(s.Budget, now, peerOwner{})
	hold.Enter(membudget.Working, now)
	return hold
}

// peerOwner is the owner of exchanges, which are not ended for others.
type peerOwner struct{}

// EndForOthers implements membudget.Owner.
func (peerOwner) EndForOthers(membudget.Phase) {}

// refuseUnread refuses a request that was not decoded, so that its exchange is not known.
func (s *Server) refuseUnread(stream *yamux.Stream, err error) {
	stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeFrame(stream, &peerv1.Reply{FromIncarnation: s.self.Incarnation, Failure: failureOf(err)}); err != nil {
		// The peer finds its exchange broken.
		return
	}
}

func (s *Server) context(req *peerv1.Request) (context.Context, context.CancelFunc) {
	if req.RemainingMicros <= 0 {
		return context.WithCancel(s.ctx)
	}
	return context.WithTimeout(s.ctx, time.Duration(req.RemainingMicros)*time.Microsecond)
}

func (s *Server) answer(ctx context.Context, req *peerv1.Request, send func(*peerv1.Reply) error) error {
	if req.ToIncarnation != 0 && req.ToIncarnation != s.self.Incarnation {
		return &port.PeerError{Code: port.PeerIncarnation}
	}
	if s.draining.Load() {
		return &port.PeerError{Code: port.PeerStopping}
	}
	if req.GetSlotAcquire() != nil {
		return s.handler.ServeFollow(ctx, req, send)
	}
	if req.GetFollow() != nil {
		s.inFlight.Add(-1)
		defer s.inFlight.Add(1)
		return s.handler.ServeFollow(ctx, req, send)
	}
	reply, err := s.handler.Serve(ctx, req)
	if err != nil {
		return err
	}
	return send(reply)
}

// CodedError is an error with a code that peers understand.
type CodedError interface {
	error
	ErrorCode() string
}

// CodeInternal is the code of failures that have none of their own.
const CodeInternal = "internal"

func failureOf(err error) *peerv1.Failure {
	f := &peerv1.Failure{Code: CodeInternal, Message: err.Error()}
	var pe *port.PeerError
	if errors.As(err, &pe) {
		f.Code = string(pe.Code)
		if pe.Reason != "" {
			f.Code = pe.Reason
		}
	}
	var coded CodedError
	if errors.As(err, &coded) {
		f.Code = coded.ErrorCode()
	}
	return f
}
