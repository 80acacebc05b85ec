package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"cassiatray/internal/core/membudget"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// DialFunc opens a connection to a peer address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// TCPDial connects over TCP.
func TCPDial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// dialTimeout bounds the opening of one session.
const dialTimeout = 2 * time.Second

// Pool implements port.PeerCaller with one session for each address. A session
// that breaks is opened again by the next call.
type Pool struct {
	self     Identity
	dial     DialFunc
	exchange atomic.Uint64

	mu       sync.Mutex
	sessions map[string]*poolSession
	closed   bool
}

// poolSession is the one session of an address. Whoever puts a token into turn
// holds the session. It is held while dialing, so that a session is opened
// once; Pool.mu is not.
type poolSession struct {
	turn chan struct{}
	mux  *yamux.Session
	// requests gives turns to large requests.
	requests sending
}

func newPoolSession() *poolSession {
	return &poolSession{turn: make(chan struct{}, 1), requests: newSending()}
}

// lock waits for the session for as long as the context allows.
func (s *poolSession) lock(ctx context.Context) error {
	select {
	case s.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *poolSession) unlock() { <-s.turn }

// NewPool returns a pool that presents itself as self.
func NewPool(self Identity, dial DialFunc) *Pool {
	return &Pool{self: self, dial: dial, sessions: map[string]*poolSession{}}
}

// NewTCPPool returns a pool that dials over TCP and counts the bytes of its
// connections in m.
func NewTCPPool(self Identity, m *Meter) *Pool { return NewPool(self, m.Dial(TCPDial)) }

// Close ends all sessions.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	sessions := p.sessions
	p.sessions = map[string]*poolSession{}
	p.mu.Unlock()
	for _, s := range sessions {
		s.turn <- struct{}{}
		if s.mux != nil {
			s.mux.Close()
		}
		s.unlock()
	}
	return nil
}

// ErrPoolClosed is the cause of calls made after Close.
const ErrPoolClosed = poolFault("pool is closed")

type poolFault string

func (f poolFault) Error() string { return string(f) }

// Prune closes the sessions that carry no exchange.
func (p *Pool) Prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sessions {
		select {
		case s.turn <- struct{}{}:
		default:
			// It is being opened.
			continue
		}
		if s.mux != nil && s.mux.NumStreams() == 0 {
			s.mux.Close()
			s.mux = nil
		}
		s.unlock()
	}
}

func (p *Pool) entry(address string) (*poolSession, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &port.PeerError{Code: port.PeerConnect, Address: address, Err: ErrPoolClosed}
	}
	s := p.sessions[address]
	if s == nil {
		s = newPoolSession()
		p.sessions[address] = s
	}
	return s, nil
}

func (p *Pool) open(ctx context.Context, address string) (*yamux.Stream, error) {
	s, err := p.entry(address)
	if err != nil {
		return nil, err
	}
	if err := s.lock(ctx); err != nil {
		return nil, &port.PeerError{Code: port.PeerConnect, Address: address, Err: err}
	}
	defer s.unlock()
	if s.mux != nil && !s.mux.IsClosed() {
		if stream, err := s.mux.OpenStream(); err == nil {
			return stream, nil
		}
		s.mux.Close()
	}
	s.mux = nil
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, &port.PeerError{Code: port.PeerConnect, Address: address, Err: err}
	}
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		conn.Close()
		return nil, &port.PeerError{Code: port.PeerConnect, Address: address, Err: err}
	}
	stream, err := mux.OpenStream()
	if err != nil {
		mux.Close()
		return nil, &port.PeerError{Code: port.PeerConnect, Address: address, Err: err}
	}
	s.mux = mux
	return stream, nil
}

// sendInTurn waits until a message of a size may be written to an address, and returns what ends
// its turn.
func (p *Pool) sendInTurn(ctx context.Context, address string, size int64) (end func(), err error) {
	s, err := p.entry(address)
	if err != nil {
		return nil, err
	}
	if end, err = s.requests.begin(ctx, size); err != nil {
		return nil, &port.PeerError{Code: port.PeerConnect, Address: address, Err: err}
	}
	return end, nil
}

// begin opens a stream and writes the request on it.
func (p *Pool) begin(ctx context.Context, address string, req *peerv1.Request) (*yamux.Stream, error) {
	req.ExchangeId = p.exchange.Add(1)
	req.FromHost = p.self.Host
	req.FromIncarnation = p.self.Incarnation
	if deadline, ok := ctx.Deadline(); ok {
		req.RemainingMicros = max(1, time.Until(deadline).Microseconds())
	}
	if hold := membudget.FromContext(ctx); hold != nil {
		size := int64(proto.Size(req))
		end, err := p.sendInTurn(ctx, address, size)
		if err != nil {
			return nil, err
		}
		defer end()
		// The message is copied to be sent.
		hold.Force(size)
		defer hold.Shrink(size)
	}
	stream, err := p.open(ctx, address)
	if err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetDeadline(deadline)
	}
	if err := writeFrame(stream, req); err != nil {
		stream.Close()
		return nil, callError(ctx, address, err)
	}
	return stream, nil
}

// Call implements port.PeerCaller.
func (p *Pool) Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Reply, error) {
	if bounds, ok := port.ProgressOf(ctx); ok {
		return p.callWithProgress(ctx, address, req, bounds)
	}
	stream, err := p.begin(ctx, address, req)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Now()) })
	defer stop()
	return readReply(ctx, bufio.NewReader(stream), address, req)
}

// Follow implements port.PeerCaller.
func (p *Pool) Follow(ctx context.Context, address string, req *peerv1.Request, fn func(*peerv1.Reply) error) error {
	stream, err := p.begin(ctx, address, req)
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Now()) })
	defer stop()
	r := bufio.NewReader(stream)
	for {
		reply, err := readReply(ctx, r, address, req)
		if err != nil {
			return err
		}
		if err := fn(reply); err != nil {
			return err
		}
	}
}

func readReply(ctx context.Context, r *bufio.Reader, address string, req *peerv1.Request) (*peerv1.Reply, error) {
	reply := new(peerv1.Reply)
	if err := readFrameHeld(r, reply, membudget.FromContext(ctx)); err != nil {
		return nil, callError(ctx, address, err)
	}
	if f := reply.Failure; f != nil && reply.ExchangeId == 0 && port.PeerCode(f.Code) == port.PeerNoRoom {
		// The stream carries this exchange alone; the receiver has not decoded its request.
		return nil, failureError(address, f)
	}
	if reply.ExchangeId != req.ExchangeId {
		return nil, &port.PeerError{Code: port.PeerMismatch, Address: address, Sent: true}
	}
	if f := reply.Failure; f != nil {
		return nil, failureError(address, f)
	}
	if req.ToIncarnation != 0 && reply.FromIncarnation != req.ToIncarnation {
		return nil, &port.PeerError{Code: port.PeerMismatch, Address: address, Sent: true}
	}
	return reply, nil
}

func failureError(address string, f *peerv1.Failure) error {
	code := port.PeerRefused
	switch own := port.PeerCode(f.Code); own {
	case port.PeerIncarnation, port.PeerStopping, port.PeerNoRoom:
		code = own
	}
	return &port.PeerError{
		Code: code, Address: address, Sent: true, Reason: f.Code,
		RetryAfter: time.Duration(f.RetryAfterMillis) * time.Millisecond,
		Err:        refusal(f.Message),
	}
}

// refusal is the text of a receiver's failure.
type refusal string

func (r refusal) Error() string { return string(r) }

// callError classifies a failure after the stream was opened.
func callError(ctx context.Context, address string, err error) error {
	var pe *port.PeerError
	if errors.As(err, &pe) {
		pe.Address = address
		return pe
	}
	var timeout net.Error
	if ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout() {
		return &port.PeerError{Code: port.PeerTimeout, Address: address, Sent: true, Err: err}
	}
	return &port.PeerError{Code: port.PeerBroken, Address: address, Sent: true, Err: err}
}
