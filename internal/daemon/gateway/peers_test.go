package gateway

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// testPeers connects a gateway with the others of the cluster.
type testPeers struct {
	w    *testCluster
	self string
}

// reach returns the gateway at an address, or why it cannot be reached; silent is set for one
// that does not reply.
func (p *testPeers) reach(address string) (to *testHost, silent bool, err error) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	cut := p.w.partitioned[p.self]
	for name, h := range p.w.hosts {
		if h.cfg.Peer.String() == address {
			to, cut, silent = h, cut || p.w.partitioned[name], p.w.silent[name]
		}
	}
	if to == nil || cut {
		return nil, false, &port.PeerError{Code: port.PeerConnect, Address: address}
	}
	return to, silent, nil
}

func (p *testPeers) Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Reply, error) {
	to, silent, err := p.reach(address)
	if err != nil {
		return nil, err
	}
	awaiting := ctx
	if bounds, ok := port.ProgressOf(ctx); ok {
		var cancel context.CancelFunc
		awaiting, cancel = context.WithTimeout(ctx, bounds.First)
		defer cancel()
	}
	if silent {
		<-awaiting.Done()
		return nil, &port.PeerError{Code: port.PeerTimeout, Address: address, Sent: true, Err: awaiting.Err()}
	}
	if req.GetQuotaAsk() != nil {
		p.w.mu.Lock()
		p.w.asks++
		p.w.askBytes += proto.Size(req)
		p.w.mu.Unlock()
	}
	// Cloned, since the caller may change the request later.
	req = proto.CloneOf(req)
	req.FromHost = p.self
	if pull := req.GetMirrorPull(); pull != nil && p.w.plainPages {
		pull.ReadsEncoded = false
	}
	time.Sleep(p.w.latency)
	reply, err := (&exchanges{node: to.node, epoch: to.syncer.identity.Incarnation}).Serve(awaiting, req)
	time.Sleep(p.w.latency)
	if err != nil {
		return nil, &port.PeerError{Code: port.PeerRefused, Address: address, Sent: true, Err: err}
	}
	if page := reply.GetMirrorPage(); page != nil && p.w.onPage != nil {
		p.w.mu.Lock()
		p.w.onPage(page)
		p.w.mu.Unlock()
	}
	p.count(req, reply)
	sent := func(bytes int) {
		if req.GetMirrorPull() != nil {
			p.w.mu.Lock()
			defer p.w.mu.Unlock()
			p.w.pullBytes += bytes
		}
	}
	if err := p.w.transfer(ctx, to.cfg.Host, p.self, proto.Size(reply), sent); err != nil {
		return nil, &port.PeerError{Code: port.PeerTimeout, Address: address, Sent: true, Err: err}
	}
	return reply, nil
}

// count counts an exchange; the bytes of a pull's reply are counted as they are sent.
func (p *testPeers) count(req *peerv1.Request, reply *peerv1.Reply) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	switch {
	case req.GetQuotaAsk() != nil:
		p.w.askBytes += proto.Size(reply)
	case req.GetMirrorPull() != nil:
		p.w.pulls++
		p.w.pullBytes += proto.Size(req)
	}
}

// testStream is a two-way exchange between two gateways of a testCluster.
type testStream struct {
	ctx    context.Context
	cancel context.CancelFunc
	up     chan *peerv1.Request
	down   chan *peerv1.Reply
	// ended is closed when the receiver has ended, with err if it failed.
	ended chan struct{}
	err   error
}

// Open implements port.PeerStreamer.
func (p *testPeers) Open(ctx context.Context, address string, req *peerv1.Request) (port.PeerStream, error) {
	to, silent, err := p.reach(address)
	if err != nil {
		return nil, err
	}
	req = proto.CloneOf(req)
	req.FromHost = p.self
	ctx, cancel := context.WithCancel(ctx)
	p.w.mu.Lock()
	p.w.streams[address] = append(p.w.streams[address], cancel)
	p.w.mu.Unlock()
	s := &testStream{ctx: ctx, cancel: cancel, up: make(chan *peerv1.Request, 64), down: make(chan *peerv1.Reply, 64), ended: make(chan struct{})}
	if silent {
		return s, nil
	}
	go func() {
		defer close(s.ended)
		p.w.mu.Lock()
		refuses := p.w.noTrials[to.cfg.Host]
		p.w.mu.Unlock()
		if offer := req.GetRelayOffer(); offer.GetTrial() && refuses {
			answer := (*testServerStream)(s)
			answer.Send(&peerv1.Reply{Body: &peerv1.Reply_RelayAccept{RelayAccept: &peerv1.RelayAccept{}}})
			answer.Send(&peerv1.Reply{Body: &peerv1.Reply_RelayHead{RelayHead: &peerv1.RelayHead{Status: 503, Reason: string(reasonCrashesServers)}}})
			answer.Send(&peerv1.Reply{Body: &peerv1.Reply_RelayChunk{RelayChunk: &peerv1.RelayChunk{Last: true}}})
			return
		}
		if err := (&exchanges{node: to.node}).ServeStream(ctx, req, (*testServerStream)(s)); err != nil {
			s.err = err
		}
	}()
	return s, nil
}

func (s *testStream) Send(req *peerv1.Request) error {
	select {
	case s.up <- proto.CloneOf(req):
		return nil
	case <-s.ctx.Done():
		return &port.PeerError{Code: port.PeerBroken, Sent: true, Err: s.ctx.Err()}
	}
}

func (s *testStream) Receive(wait time.Duration) (*peerv1.Reply, error) {
	late := time.After(wait)
	select {
	case reply := <-s.down:
		return reply, nil
	default:
	}
	select {
	case reply := <-s.down:
		return reply, nil
	case <-s.ended:
		select {
		case reply := <-s.down:
			return reply, nil
		default:
		}
		var coded peer.CodedError
		if errors.As(s.err, &coded) {
			return nil, &port.PeerError{Code: port.PeerRefused, Sent: true, Reason: coded.ErrorCode(), Err: s.err}
		}
		return nil, &port.PeerError{Code: port.PeerBroken, Sent: true, Err: s.err}
	case <-s.ctx.Done():
		return nil, &port.PeerError{Code: port.PeerTimeout, Sent: true, Err: s.ctx.Err()}
	case <-late:
		return nil, &port.PeerError{Code: port.PeerTimeout, Sent: true}
	}
}

func (s *testStream) Close() error { s.cancel(); return nil }

// testServerStream is the receiver's side of a testStream.
type testServerStream testStream

func (s *testServerStream) Send(reply *peerv1.Reply) error {
	select {
	case s.down <- proto.CloneOf(reply):
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *testServerStream) Receive(ctx context.Context) (*peerv1.Request, error) {
	select {
	case req := <-s.up:
		return req, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *testPeers) Follow(context.Context, string, *peerv1.Request, func(*peerv1.Reply) error) error {
	return &port.PeerError{Code: port.PeerRefused}
}
