package slots

import (
	"fmt"
	"time"

	"cassiatray/internal/core/admission"
)

// borrow asks other hosts for a free slot, then waits.
func (p *pooled) borrow(s *sim, r *request, tries int) {
	host, ok := p.hosts[r.host].offers.Pick()
	if !p.owner || tries == 0 || !ok {
		p.wait(s, r)
		return
	}
	var other int
	fmt.Sscan(host, &other)
	if s.frozen[other] {
		p.hosts[r.host].offers.Drop(host)
		s.after(firstReply, func() { p.borrow(s, r, tries-1) })
		return
	}
	s.after(hop, func() {
		if s.frozen[other] {
			s.after(firstReply-hop, func() { p.borrow(s, r, tries-1) })
			return
		}
		server, ok := p.hosts[other].pool.Try(p.limits(s, other))
		offer := p.offer(s, other)
		s.after(hop, func() {
			p.hosts[r.host].offers.Update(host, offer)
			if !ok {
				p.borrow(s, r, tries-1)
				return
			}
			p.run(s, r, other, server, hop)
		})
	})
}

// wait queues a request here and at the least loaded other holders; the first
// slot that comes is used, and the other places are given up.
func (p *pooled) wait(s *sim, r *request) {
	w := &wait{r: r}
	if !p.owner || free(p.limits(s, r.host)) > 0 {
		w.open++
		p.admit(s, w, r.host, 0)
	}
	if !p.owner {
		return
	}
	for i, h := range p.hosts[r.host].offers.Shortest() {
		if i == borrowTries {
			break
		}
		var other int
		fmt.Sscan(h, &other)
		if s.frozen[other] {
			p.hosts[r.host].offers.Drop(h)
			continue
		}
		w.open++
		s.after(hop, func() { p.admit(s, w, other, hop) })
	}
	if w.open == 0 {
		s.refuse(r)
	}
}

// wait is one request with its places in queues.
type wait struct {
	r *request
	// open counts the places that are neither refused nor given up.
	open    int
	started bool
	cancel  []func()
}

func free(limits []admission.Limit) int {
	n := 0
	for _, l := range limits {
		n += l.Slots
	}
	return n
}

func (p *pooled) admit(s *sim, w *wait, host int, back time.Duration) {
	if w.started {
		return
	}
	if s.frozen[host] {
		s.after(firstReply, func() { p.judged(s, w, host, admission.Verdict{}, back) })
		return
	}
	h := p.hosts[host]
	ticket, verdicts := h.pool.Admit(at(s.now), want(w.r), p.limits(s, host))
	h.waiting[ticket] = func(v admission.Verdict) { s.after(back, func() { p.judged(s, w, host, v, back) }) }
	w.cancel = append(w.cancel, func() {
		s.after(back, func() {
			if h.pool.Cancel(ticket) {
				delete(h.waiting, ticket)
			}
		})
	})
	p.deliver(h, verdicts)
	limit := admission.WaitLimit(classes[w.r.class].priority, w.r.deadline-s.now) + time.Millisecond
	s.after(limit, func() { p.pump(s, host) })
}
