package slots

import (
	"fmt"
	"time"

	"cassiatray/internal/core/admission"
)

// Times of the owner policy, those of the daemon.
const (
	lease        = time.Second
	renewal      = 250 * time.Millisecond
	firstReply   = 50 * time.Millisecond
	liveAfter    = 2 * time.Second
	longest      = 5 * time.Second
	queueLimit   = 512
	borrowTries  = 2
	probeEvery   = time.Second
	ownerService = "svc"
)

// pooled runs the project's queue on each host: over an even part of every
// server's slots, or over the servers that the host holds, lending slots.
type pooled struct {
	owner bool
	hosts [hosts]*pooledHost
	// holder is the host that holds each server; from is when it may use it.
	holder []int
	from   []time.Duration
	out    []bool
}

type pooledHost struct {
	pool    *admission.Pool
	offers  *admission.Offers
	waiting map[admission.Ticket]func(admission.Verdict)
}

func newPooled(s *sim, owner bool) policy {
	p := &pooled{owner: owner, holder: make([]int, s.Servers), from: make([]time.Duration, s.Servers), out: make([]bool, s.Servers)}
	for h := range hosts {
		p.hosts[h] = newPooledHost()
	}
	p.assign(s)
	for i := range p.from {
		p.from[i] = 0
	}
	if owner {
		s.after(0, func() { p.gossip(s) })
	}
	return p
}

func newPooledHost() *pooledHost {
	return &pooledHost{pool: admission.NewPool(queueLimit), offers: admission.NewOffers(), waiting: map[admission.Ticket]func(admission.Verdict){}}
}

func name(i int) string { return fmt.Sprint(i) }

// assign moves the servers of hosts that are not live: each new holder waits
// for the lease and the longest deadline.
func (p *pooled) assign(s *sim) {
	var live, servers []string
	for h := range hosts {
		if !s.frozen[h] {
			live = append(live, name(h))
		}
	}
	for i := range s.servers {
		servers = append(servers, name(i))
	}
	for server, host := range admission.Assign(ownerService, servers, live) {
		var i, h int
		fmt.Sscan(server, &i)
		fmt.Sscan(host, &h)
		if p.holder[i] == h {
			continue
		}
		p.from[i] = s.now + 2*renewal
		if s.frozen[p.holder[i]] {
			p.from[i] = s.now + longest
		}
		p.holder[i] = h
	}
}

func (p *pooled) limits(s *sim, host int) []admission.Limit {
	var out []admission.Limit
	for i := range s.servers {
		slots := s.Slots
		switch {
		case p.out[i]:
			slots = 0
		case !p.owner:
			slots = (s.Slots + (host+i)%hosts) / hosts
		case p.holder[i] != host || s.now < p.from[i]:
			continue
		}
		out = append(out, admission.Limit{Server: name(i), Slots: slots})
	}
	return out
}

func at(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

func want(r *request) admission.Request {
	return admission.Request{Priority: classes[r.class].priority, Deadline: at(r.deadline)}
}

func (p *pooled) arrive(s *sim, r *request) {
	h := p.hosts[r.host]
	if server, ok := h.pool.Try(p.limits(s, r.host)); ok {
		p.run(s, r, r.host, server, 0)
		return
	}
	p.borrow(s, r, borrowTries)
}

// judged takes in a verdict at the request's own host.
func (p *pooled) judged(s *sim, w *wait, host int, v admission.Verdict, back time.Duration) {
	w.open--
	switch {
	case w.started && v.Server != "":
		s.after(back, func() { p.done(s, host, v.Server, 0) })
	case w.started:
	case v.Server != "":
		w.started = true
		for _, cancel := range w.cancel {
			cancel()
		}
		p.run(s, w.r, host, v.Server, back)
	case w.open == 0:
		s.refuse(w.r)
	}
}

func (p *pooled) done(s *sim, host int, server string, took time.Duration) {
	h := p.hosts[host]
	p.deliver(h, h.pool.Done(at(s.now), server, took, p.limits(s, host)))
}

func (p *pooled) pump(s *sim, host int) {
	h := p.hosts[host]
	p.deliver(h, h.pool.Pump(at(s.now), p.limits(s, host)))
}

func (p *pooled) deliver(h *pooledHost, verdicts []admission.Verdict) {
	for _, v := range verdicts {
		if do := h.waiting[v.Ticket]; do != nil {
			delete(h.waiting, v.Ticket)
			do(v)
		}
	}
}

// run sends a request on a slot of a host; the slot is free again one delay
// after the answer when it was borrowed.
func (p *pooled) run(s *sim, r *request, holder int, server string, back time.Duration) {
	var to int
	fmt.Sscan(server, &to)
	s.dispatch(r, to, func(took time.Duration) {
		s.after(back, func() { p.done(s, holder, server, took) })
	})
}

func (p *pooled) offer(s *sim, host int) admission.Offer {
	h := p.hosts[host]
	o := admission.Offer{Queued: h.pool.Queued()}
	for _, l := range p.limits(s, host) {
		o.Slots += l.Slots
		o.InFlight += h.pool.InFlight(l.Server)
	}
	return o
}

// gossip passes on loads at each renewal; a waiter takes up an offer.
func (p *pooled) gossip(s *sim) {
	for from := range hosts {
		if s.frozen[from] {
			continue
		}
		p.pump(s, from)
		offer := p.offer(s, from)
		for to := range hosts {
			if to != from {
				s.after(hop, func() { p.hosts[to].offers.Update(name(from), offer) })
			}
		}
	}
	s.after(renewal, func() { p.gossip(s) })
}

func (p *pooled) freeze(s *sim, host int, replaced bool) {
	if replaced {
		p.hosts[host] = newPooledHost()
	}
	s.after(liveAfter, func() { p.assign(s) })
}

func (p *pooled) thaw(s *sim, host int) { p.assign(s) }

// leaving is heard by every host of the domain at once with the next message.
func (p *pooled) leaving(s *sim, _, server int) { s.after(hop, func() { p.out[server] = true }) }
