package slots

import (
	"context"
	"fmt"
	"time"

	"cassiatray/internal/core/admission"
	"cassiatray/internal/core/document"
)

// Want is a request that needs a slot.
type Want struct {
	Service *document.ServiceIndex
	Class   *document.Class
	// Deadline is when the request must have ended. It is at most the class's
	// deadline from now.
	Deadline time.Time
}

// RefusedError says that no slot was given. Nothing was sent anywhere.
type RefusedError struct {
	Reason     admission.Reason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("no slot (%s), try again after %v", e.Reason, e.RetryAfter)
}

// Slot is the right to run one request on a server. It must be ended once.
type Slot struct {
	Server  string
	Address string
	end     func(took time.Duration)
}

// NewSlot returns a slot that calls end once it is given back, with the time of
// a request that ended with a whole answer, and zero for any other.
func NewSlot(server, address string, end func(took time.Duration)) *Slot {
	return &Slot{Server: server, Address: address, end: end}
}

// Done gives the slot back after a whole answer.
func (s *Slot) Done(took time.Duration) { s.end(max(took, 1)) }

// Abandon gives the slot back once the server can have seen that the request's
// connection is closed. Its use is after every exchange without a whole answer.
func (s *Slot) Abandon() { time.AfterFunc(cancelGrace, func() { s.end(0) }) }

// Unused gives back a slot on which nothing was sent.
func (s *Slot) Unused() { s.end(0) }

// Acquire gives a request a slot: on a server that this host holds, else on
// one that another host has free, else after a wait in this host's queue or,
// when it holds none, in another's.
//
// Errors: *RefusedError, or the context's error when it ended first.
func (m *Manager) Acquire(ctx context.Context, w Want) (*Slot, error) {
	begin := m.clock.Now()
	slot, err := m.acquire(ctx, w)
	m.metrics.acquired(w, m.clock.Now().Sub(begin), err)
	return slot, err
}

func (m *Manager) acquire(ctx context.Context, w Want) (*Slot, error) {
	s := m.service(w.Service.Name)
	if server, ok := m.try(s); ok {
		return m.own(s, server)
	}
	if slot := m.borrow(ctx, s, w); slot != nil {
		return slot, nil
	}
	if m.holdsAny(s) {
		return m.wait(ctx, s, w)
	}
	return m.waitElsewhere(ctx, s, w)
}

// own makes a slot of one that the pool has counted. The server's address is that of the document in
// force, which may have changed while the request waited.
func (m *Manager) own(s *service, server string) (*Slot, error) {
	address, ok := m.serverAddress(s, server)
	if !ok {
		m.done(s, server, 0)
		return nil, serverGone()
	}
	return &Slot{Server: server, Address: address, end: func(took time.Duration) { m.done(s, server, took) }}, nil
}

// serverAddress returns the address of a server of this domain, and whether the document in force
// names the server.
func (m *Manager) serverAddress(s *service, server string) (string, bool) {
	index := m.source.Index()
	if index == nil {
		return "", false
	}
	svc := index.Service(s.name)
	if svc == nil {
		return "", false
	}
	for _, b := range svc.In(m.cfg.Domain) {
		if b.Name == server {
			return b.Address.String(), true
		}
	}
	return "", false
}

func serverGone() *RefusedError {
	return &RefusedError{Reason: admission.ReasonNoSlots, RetryAfter: roundInterval}
}

func (m *Manager) holdsAny(s *service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range m.limits(m.clock.Now(), s) {
		if l.Slots > 0 {
			return true
		}
	}
	return false
}

// borrow asks hosts that seem to have a free slot.
func (m *Manager) borrow(ctx context.Context, s *service, w Want) *Slot {
	for range borrowTries {
		host, ok := s.pick()
		if !ok {
			return nil
		}
		if slot, err := m.leaseFrom(ctx, host, s, w, false); err == nil {
			return slot
		}
	}
	return nil
}

// wait queues the request here and at the least loaded other holders, and takes
// the first slot that comes: no slot of the domain stays free while a request
// waits elsewhere. The places that are not needed are given up at once.
func (m *Manager) wait(ctx context.Context, s *service, w Want) (*Slot, error) {
	r := admission.Request{Priority: w.Class.Priority, Deadline: w.Deadline}
	ticket, verdict := m.admit(s, r)
	late := time.NewTimer(admission.WaitLimit(r.Priority, r.Deadline.Sub(m.clock.Now())) + time.Millisecond)
	defer late.Stop()
	others, open, cancel := m.waitAtOthers(ctx, s, w)
	defer cancel()
	var refused error
	for {
		select {
		case v := <-verdict:
			slot, err := m.judged(s, v)
			if err == nil || open == 0 {
				return slot, err
			}
			verdict, refused = nil, err
		case slot := <-others:
			open--
			switch {
			case slot != nil:
				m.giveUp(s, ticket, verdict)
				return slot, nil
			case open == 0 && refused != nil:
				return nil, refused
			}
		case <-late.C:
			m.pump(s)
		case <-ctx.Done():
			m.giveUp(s, ticket, verdict)
			return nil, ctx.Err()
		}
	}
}

// giveUp leaves the queue unless the verdict has been taken.
func (m *Manager) giveUp(s *service, t admission.Ticket, verdict <-chan admission.Verdict) {
	if verdict != nil {
		m.cancel(s, t, verdict)
	}
}

// waitAtOthers queues the request at a number of other holders. Each ends with
// a slot or nil on the channel; cancel gives up the rest.
func (m *Manager) waitAtOthers(ctx context.Context, s *service, w Want) (<-chan *Slot, int, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	hosts := s.shortest()
	hosts = hosts[:min(len(hosts), borrowTries)]
	slots := make(chan *Slot)
	for _, host := range hosts {
		go func() {
			slot, _ := m.leaseFrom(ctx, host, s, w, true)
			select {
			case slots <- slot:
			case <-ctx.Done():
				if slot != nil {
					slot.Unused()
				}
			}
		}()
	}
	return slots, len(hosts), cancel
}

func (m *Manager) judged(s *service, v admission.Verdict) (*Slot, error) {
	if v.Server == "" {
		return nil, &RefusedError{Reason: v.Reason, RetryAfter: v.RetryAfter}
	}
	return m.own(s, v.Server)
}

// waitElsewhere queues the request at the least loaded host that answers.
func (m *Manager) waitElsewhere(ctx context.Context, s *service, w Want) (*Slot, error) {
	var refused error = &RefusedError{Reason: admission.ReasonNoSlots, RetryAfter: roundInterval}
	for i, host := range s.shortest() {
		if i == borrowTries {
			break
		}
		slot, err := m.leaseFrom(ctx, host, s, w, true)
		if err == nil {
			return slot, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		refused = err
	}
	return nil, refused
}
