package gateway

import (
	"sync"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/overload"
)

// pressures holds the pressure on each service.
type pressures struct {
	mu       sync.Mutex
	services map[string]*overload.Pressure
}

// high reports whether a service as a whole has too little room.
func (p *pressures) high(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.services[service]
	return x != nil && x.High(now)
}

// record records whether a request to a service found its first server full, and returns whether
// the service as a whole has too little room.
func (p *pressures) record(service string, full bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.services[service]
	if x == nil {
		if p.services == nil {
			p.services = map[string]*overload.Pressure{}
		}
		x = new(overload.Pressure)
		p.services[service] = x
	}
	x.Record(full, now)
	return x.High(now)
}

// isFull reports whether a server that was evaluated for a request has no free slot, as far as is
// known. One that does not answer its check has none either.
func (c *candidate) isFull(reason rejectReason, now time.Time) bool {
	switch reason {
	case reasonNone:
		return c.load >= float64(c.server.rec().Slots) || c.server.withHealth(func(h *fleet.Health) bool { return h.Shedding(now) })
	case reasonUnreachable, reasonFull:
		return true
	}
	return false
}
