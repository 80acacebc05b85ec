package admission

import "time"

// Reason is why a request was rejected.
type Reason string

// Values of Reason.
const (
	// ReasonFull means that the queue was full of requests that precede this one.
	ReasonFull Reason = "full"
	// ReasonLate means that the request could not have ended by its deadline, or
	// would have waited longer than WaitLimit.
	ReasonLate Reason = "late"
	// ReasonDisplaced means that a request that precedes this one took its place in
	// the full queue.
	ReasonDisplaced Reason = "displaced"
	// ReasonNoSlots means that this host has no slots on any server.
	ReasonNoSlots Reason = "no-slots"
)

// Bounds of the retry delay sent with a rejection.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Estimate of the time that a request takes: the initial value, and the divisor
// that is applied to each new sample in an exponential moving average.
const (
	initialServiceTime = 10 * time.Millisecond
	serviceTimeWeight  = 16
)

// Limit is the number of requests that this host may have on a server now.
type Limit struct {
	Server string
	Slots  int
}

// Request holds the properties of a request that a Pool needs.
type Request struct {
	Priority int
	Deadline time.Time
}

// Verdict is the decision on a request: it starts on Server, or is rejected with a
// Reason.
type Verdict struct {
	Ticket     Ticket
	Server     string
	Reason     Reason
	RetryAfter time.Duration
}

// Pool is this host's queue for one service on the servers that it holds. The
// limits argument of its methods holds the limits at the time of the call; a Pool
// starts no request on a server that has reached its limit. It is not safe for
// concurrent use.
type Pool struct {
	capacity    int
	lastTicket  Ticket
	queue       queue
	inFlight    map[string]int
	serviceTime time.Duration
}

// NewPool returns an empty pool with a queue of at most capacity requests.
func NewPool(capacity int) *Pool {
	return &Pool{capacity: capacity, inFlight: map[string]int{}, serviceTime: initialServiceTime}
}

// Try starts a request if a slot is free and no other request is queued.
func (p *Pool) Try(limits []Limit) (server string, ok bool) {
	if p.queue.len() > 0 {
		return "", false
	}
	return p.takeSlot(limits)
}

// Admit starts, queues or rejects a request. The verdict on a queued request is
// returned by a later call, and this call may return verdicts on other requests.
func (p *Pool) Admit(now time.Time, r Request, limits []Limit) (Ticket, []Verdict) {
	p.lastTicket++
	left := r.Deadline.Sub(now)
	w := &waiter{ticket: p.lastTicket, priority: r.Priority, startBy: now.Add(min(WaitLimit(r.Priority, left), left-p.serviceTime))}
	out := p.Pump(now, limits)
	if reason := p.rejectReason(now, w, limits); reason != "" {
		return w.ticket, append(out, p.reject(w, reason, limits))
	}
	if p.queue.len() >= p.capacity {
		displaced := p.queue.displace(w)
		if displaced == nil {
			return w.ticket, append(out, p.reject(w, ReasonFull, limits))
		}
		out = append(out, p.reject(displaced, ReasonDisplaced, limits))
	}
	p.queue.push(w)
	return w.ticket, append(out, p.Pump(now, limits)...)
}

func (p *Pool) rejectReason(now time.Time, w *waiter, limits []Limit) Reason {
	slots := totalSlots(limits)
	if slots == 0 {
		return ReasonNoSlots
	}
	if now.After(w.startBy) {
		return ReasonLate
	}
	if p.queue.len() == 0 {
		return ""
	}
	wait := p.serviceTime * time.Duration(p.queue.position(w)) / time.Duration(slots)
	if now.Add(wait).After(w.startBy) {
		return ReasonLate
	}
	return ""
}

func totalSlots(limits []Limit) int {
	n := 0
	for _, l := range limits {
		n += l.Slots
	}
	return n
}

func (p *Pool) reject(w *waiter, reason Reason, limits []Limit) Verdict {
	return Verdict{Ticket: w.ticket, Reason: reason, RetryAfter: p.RetryAfter(limits)}
}

// RetryAfter returns the estimated time in which the queue becomes empty.
func (p *Pool) RetryAfter(limits []Limit) time.Duration {
	slots := totalSlots(limits)
	if slots == 0 {
		return time.Second
	}
	drain := p.serviceTime * time.Duration(p.queue.len()+1) / time.Duration(slots)
	return min(max(drain, minRetryAfter), maxRetryAfter)
}

// Pump starts queued requests on free slots, and rejects those that have passed
// their latest start.
func (p *Pool) Pump(now time.Time, limits []Limit) []Verdict {
	var out []Verdict
	for _, w := range p.queue.expire(now) {
		out = append(out, p.reject(w, ReasonLate, limits))
	}
	for p.queue.len() > 0 {
		server, ok := p.takeSlot(limits)
		if !ok {
			break
		}
		out = append(out, Verdict{Ticket: p.queue.pop().ticket, Server: server})
	}
	return out
}

// takeSlot takes a slot of the server with the smallest fraction of used slots.
func (p *Pool) takeSlot(limits []Limit) (string, bool) {
	best := -1
	for i, l := range limits {
		used := p.inFlight[l.Server]
		if used >= l.Slots {
			continue
		}
		if best < 0 || used*limits[best].Slots < p.inFlight[limits[best].Server]*l.Slots {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	p.inFlight[limits[best].Server]++
	return limits[best].Server, true
}

// Done frees a slot and starts queued requests. Took is the duration of a request
// that ended with a response, and zero for any other.
func (p *Pool) Done(now time.Time, server string, took time.Duration, limits []Limit) []Verdict {
	if p.inFlight[server]--; p.inFlight[server] <= 0 {
		delete(p.inFlight, server)
	}
	if took > 0 {
		p.serviceTime += (took - p.serviceTime) / serviceTimeWeight
	}
	return p.Pump(now, limits)
}

// Cancel removes a request from the queue. It returns false if the request is not
// queued any more.
func (p *Pool) Cancel(t Ticket) bool { return p.queue.cancel(t) }

// Yield removes the next request from the queue so that another host can run it.
func (p *Pool) Yield() (Ticket, bool) {
	if p.queue.len() == 0 {
		return 0, false
	}
	return p.queue.pop().ticket, true
}

// Queued returns the number of queued requests.
func (p *Pool) Queued() int { return p.queue.len() }

// InFlight returns the number of requests in flight on a server.
func (p *Pool) InFlight(server string) int { return p.inFlight[server] }

// Free returns the number of additional requests that could start now.
func (p *Pool) Free(limits []Limit) int {
	n := 0
	for _, l := range limits {
		n += max(0, l.Slots-p.inFlight[l.Server])
	}
	return max(0, n-p.queue.len())
}

// Service returns the estimated duration of a request.
func (p *Pool) Service() time.Duration { return p.serviceTime }
