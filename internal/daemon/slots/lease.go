package slots

import (
	"context"
	"errors"
	"time"

	"cassiatray/internal/core/admission"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// leaseFrom asks another host for a slot on a server it holds. The slot lasts
// until its stream is closed: that gives it back, also when this process dies.
//
// Errors: *RefusedError or *port.PeerError; either way nothing was sent to a
// server.
func (m *Manager) leaseFrom(ctx context.Context, host string, s *service, w Want, wait bool) (*Slot, error) {
	address, ok := m.peerAddress(host)
	if !ok {
		s.drop(host)
		return nil, &port.PeerError{Code: port.PeerConnect, Address: host, Err: &UnknownHostError{Host: host}}
	}
	// The stream outlives the caller's interest: the slot is given back when
	// the server can no longer be running the request, not before.
	hold, cancel := context.WithDeadline(context.WithoutCancel(ctx), w.Deadline)
	replies := make(chan *peerv1.SlotLease, 2)
	ended := make(chan error, 1)
	go func() { ended <- m.follow(hold, address, s, w, wait, replies) }()
	lease, err := m.await(ctx, replies, ended)
	if err != nil {
		cancel()
		if !isRefused(err) {
			s.drop(host)
		}
		return nil, err
	}
	if m.Leaving(s.name, lease.Server) {
		cancel()
		m.Kick()
		return nil, &RefusedError{Reason: admission.ReasonNoSlots, RetryAfter: roundInterval}
	}
	return &Slot{Server: lease.Server, Address: lease.Address, end: func(time.Duration) { cancel() }}, nil
}

func isRefused(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) || errors.Is(err, context.Canceled)
}

// UnknownHostError is a host that the document in force does not name.
type UnknownHostError struct{ Host string }

func (e *UnknownHostError) Error() string { return "no host " + e.Host + " in this domain" }

func (m *Manager) peerAddress(host string) (string, bool) {
	index := m.source.Index()
	if index == nil {
		return "", false
	}
	h := index.Host(host)
	if h == nil || h.Domain != m.cfg.Domain {
		return "", false
	}
	return h.Entry.String(), true
}

// follow passes on the other host's replies until the stream ends.
func (m *Manager) follow(ctx context.Context, address string, s *service, w Want, wait bool, replies chan<- *peerv1.SlotLease) error {
	req := &peerv1.Request{Body: &peerv1.Request_SlotAcquire{SlotAcquire: &peerv1.SlotAcquire{
		Service: s.name, Priority: int32(w.Class.Priority), Wait: wait,
	}}}
	return m.peers.Follow(ctx, address, req, func(r *peerv1.Reply) error {
		lease := r.GetSlotLease()
		select {
		case replies <- lease:
		default:
		}
		return nil
	})
}

// await waits for the first reply for firstReply, and for the slot as long as
// the context lasts when the request was queued.
func (m *Manager) await(ctx context.Context, replies <-chan *peerv1.SlotLease, ended <-chan error) (*peerv1.SlotLease, error) {
	first := time.NewTimer(firstReply)
	defer first.Stop()
	silent := first.C
	for {
		select {
		case l := <-replies:
			switch l.GetState() {
			case peerv1.SlotState_SLOT_STATE_GRANTED:
				return l, nil
			case peerv1.SlotState_SLOT_STATE_QUEUED:
				silent = nil
			default:
				return nil, &RefusedError{
					Reason: admission.Reason(l.GetReason()), RetryAfter: time.Duration(l.GetRetryAfterMillis()) * time.Millisecond,
				}
			}
		case err := <-ended:
			return nil, err
		case <-silent:
			return nil, &port.PeerError{Code: port.PeerTimeout, Err: context.DeadlineExceeded}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Serves reports whether a request is one that ServeStream answers.
func Serves(req *peerv1.Request) bool { return req.GetSlotAcquire() != nil }

// ServeStream answers another host's request for a slot. It returns once the
// slot was given back or the request's deadline has passed.
func (m *Manager) ServeStream(ctx context.Context, req *peerv1.Request, send func(*peerv1.Reply) error) error {
	a := req.GetSlotAcquire()
	index := m.source.Index()
	if index == nil || index.Service(a.Service) == nil {
		return send(leaseReply(&peerv1.SlotLease{State: peerv1.SlotState_SLOT_STATE_REFUSED, Reason: string(admission.ReasonNoSlots)}))
	}
	svc := index.Service(a.Service)
	now := m.clock.Now()
	deadline := now.Add(hold(svc))
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	s := m.service(a.Service)
	server, fail, err := m.admitOther(ctx, s, admission.Request{Priority: int(a.Priority), Deadline: deadline}, a.Wait, send)
	if err != nil {
		return err
	}
	if fail != nil {
		return send(m.refusal(s, fail))
	}
	address, ok := m.serverAddress(s, server)
	if !ok {
		m.done(s, server, 0)
		return send(m.refusal(s, serverGone()))
	}
	return m.lend(ctx, s, server, address, deadline, send)
}

func leaseReply(l *peerv1.SlotLease) *peerv1.Reply {
	return &peerv1.Reply{Body: &peerv1.Reply_SlotLease{SlotLease: l}}
}

func (m *Manager) refusal(s *service, fail *RefusedError) *peerv1.Reply {
	return leaseReply(&peerv1.SlotLease{
		State: peerv1.SlotState_SLOT_STATE_REFUSED, Reason: string(fail.Reason),
		RetryAfterMillis: fail.RetryAfter.Milliseconds(), Load: m.loadOf(s),
	})
}

func (m *Manager) admitOther(ctx context.Context, s *service, r admission.Request, wait bool, send func(*peerv1.Reply) error) (string, *RefusedError, error) {
	if server, ok := m.try(s); ok {
		return server, nil, nil
	}
	if !wait {
		return "", &RefusedError{Reason: admission.ReasonFull}, nil
	}
	ticket, verdict := m.admit(s, r)
	if err := send(leaseReply(&peerv1.SlotLease{State: peerv1.SlotState_SLOT_STATE_QUEUED})); err != nil {
		m.cancel(s, ticket, verdict)
		return "", nil, err
	}
	late := time.NewTimer(admission.WaitLimit(r.Priority, r.Deadline.Sub(m.clock.Now())) + time.Millisecond)
	defer late.Stop()
	for {
		select {
		case v := <-verdict:
			if v.Server == "" {
				return "", &RefusedError{Reason: v.Reason, RetryAfter: v.RetryAfter}, nil
			}
			return v.Server, nil, nil
		case <-late.C:
			m.pump(s)
		case <-ctx.Done():
			m.cancel(s, ticket, verdict)
			return "", nil, ctx.Err()
		}
	}
}

// lend lets another host use a slot until it closes the stream. When the
// session itself is lost the other host may still be at work, so the slot
// stays counted until the deadline.
func (m *Manager) lend(ctx context.Context, s *service, server, address string, deadline time.Time, send func(*peerv1.Reply) error) error {
	begin := m.clock.Now()
	err := send(leaseReply(&peerv1.SlotLease{
		State: peerv1.SlotState_SLOT_STATE_GRANTED, Server: server, Address: address, Load: m.loadOf(s),
	}))
	if err == nil {
		<-ctx.Done()
	}
	if err != nil || errors.Is(context.Cause(ctx), port.ErrSessionLost) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		time.AfterFunc(deadline.Sub(m.clock.Now())+cancelGrace, func() { m.done(s, server, 0) })
		return err
	}
	m.done(s, server, max(1, m.clock.Now().Sub(begin)))
	return nil
}

func (m *Manager) loadOf(s *service) *peerv1.ServiceLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return loadMessage(s.name, offerOf(s, m.limits(m.clock.Now(), s)))
}

func loadMessage(service string, o admission.Offer) *peerv1.ServiceLoad {
	return &peerv1.ServiceLoad{Service: service, Slots: uint32(o.Slots), InFlight: uint32(o.InFlight), Queued: uint32(o.Queued)}
}

func offerMessage(l *peerv1.ServiceLoad) admission.Offer {
	return admission.Offer{Slots: int(l.GetSlots()), InFlight: int(l.GetInFlight()), Queued: int(l.GetQueued())}
}
