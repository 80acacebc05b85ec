package admission

import "time"

// Reason says why a request was refused.
type Reason string

// Values of Reason.
const (
	// ReasonFull means that the queue was full of requests that go first.
	ReasonFull Reason = "full"
	// ReasonLate means that the request could not have ended by its deadline,
	// or would have waited longer than its class may.
	ReasonLate Reason = "late"
	// ReasonDisplaced means that a more urgent request took its place.
	ReasonDisplaced Reason = "displaced"
	// ReasonNoSlots means that this host may start nothing on any server.
	ReasonNoSlots Reason = "no-slots"
)

// Bounds of the time after which a refused caller should try again.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Estimate of the time a request takes: the first guess, and the weight of
// each new sample in a moving average.
const (
	firstService  = 10 * time.Millisecond
	serviceWeight = 16
)

// Limit is how many requests this host may have on a server now.
type Limit struct {
	Server string
	Slots  int
}

// Request is what a Pool needs to know of a request.
type Request struct {
	Priority int
	Deadline time.Time
}

// Verdict is the end of a request's wait: it starts on Server, or is refused.
type Verdict struct {
	Ticket     Ticket
	Server     string
	Reason     Reason
	RetryAfter time.Duration
}

// Pool is this host's queue for one service, over the servers that it holds.
// Its Limits argument is evaluated for the time of the call; the sum of what
// is in flight on a server never passes it. It is not safe for concurrent use.
type Pool struct {
	capacity int
	last     Ticket
	queue    queue
	used     map[string]int
	service  time.Duration
}

// NewPool returns an empty pool with a queue of at most capacity requests.
func NewPool(capacity int) *Pool {
	return &Pool{capacity: capacity, used: map[string]int{}, service: firstService}
}

// Try starts a request at once if a slot is free and nobody waits.
func (p *Pool) Try(limits []Limit) (server string, ok bool) {
	if p.queue.len() > 0 {
		return "", false
	}
	return p.take(limits)
}

// Admit starts, queues or refuses a request. A queued one has its verdict from
// a later call; the verdicts of this call may also end the wait of others.
func (p *Pool) Admit(now time.Time, r Request, limits []Limit) (Ticket, []Verdict) {
	p.last++
	left := r.Deadline.Sub(now)
	w := &waiter{ticket: p.last, priority: r.Priority, startBy: now.Add(min(WaitLimit(r.Priority, left), left-p.service))}
	out := p.Pump(now, limits)
	if reason := p.refusal(now, w, limits); reason != "" {
		return w.ticket, append(out, p.refuse(w, reason, limits))
	}
	if p.queue.len() >= p.capacity {
		worst := p.queue.displace(w)
		if worst == nil {
			return w.ticket, append(out, p.refuse(w, ReasonFull, limits))
		}
		out = append(out, p.refuse(worst, ReasonDisplaced, limits))
	}
	p.queue.push(w)
	return w.ticket, append(out, p.Pump(now, limits)...)
}

func (p *Pool) refusal(now time.Time, w *waiter, limits []Limit) Reason {
	slots := total(limits)
	if slots == 0 {
		return ReasonNoSlots
	}
	if now.After(w.startBy) {
		return ReasonLate
	}
	if p.queue.len() == 0 {
		return ""
	}
	wait := p.service * time.Duration(p.queue.position(w)) / time.Duration(slots)
	if now.Add(wait).After(w.startBy) {
		return ReasonLate
	}
	return ""
}

func total(limits []Limit) int {
	n := 0
	for _, l := range limits {
		n += l.Slots
	}
	return n
}

func (p *Pool) refuse(w *waiter, reason Reason, limits []Limit) Verdict {
	return Verdict{Ticket: w.ticket, Reason: reason, RetryAfter: p.RetryAfter(limits)}
}

// RetryAfter is the time in which the queue drains at its present rate.
func (p *Pool) RetryAfter(limits []Limit) time.Duration {
	slots := total(limits)
	if slots == 0 {
		return time.Second
	}
	drain := p.service * time.Duration(p.queue.len()+1) / time.Duration(slots)
	return min(max(drain, minRetryAfter), maxRetryAfter)
}

// Pump starts waiters on free slots and refuses those that have become late.
func (p *Pool) Pump(now time.Time, limits []Limit) []Verdict {
	var out []Verdict
	for _, w := range p.queue.expire(now) {
		out = append(out, p.refuse(w, ReasonLate, limits))
	}
	for p.queue.len() > 0 {
		server, ok := p.take(limits)
		if !ok {
			break
		}
		out = append(out, Verdict{Ticket: p.queue.pop().ticket, Server: server})
	}
	return out
}

// take fills a slot of the server with the smallest used share.
func (p *Pool) take(limits []Limit) (string, bool) {
	best := -1
	for i, l := range limits {
		used := p.used[l.Server]
		if used >= l.Slots {
			continue
		}
		if best < 0 || used*limits[best].Slots < p.used[limits[best].Server]*l.Slots {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	p.used[limits[best].Server]++
	return limits[best].Server, true
}

// Done frees a slot and starts waiters. Took is how long a request ran that
// ended with an answer, and zero for any other.
func (p *Pool) Done(now time.Time, server string, took time.Duration, limits []Limit) []Verdict {
	if p.used[server]--; p.used[server] <= 0 {
		delete(p.used, server)
	}
	if took > 0 {
		p.service += (took - p.service) / serviceWeight
	}
	return p.Pump(now, limits)
}

// Cancel takes a request out of the queue. It reports false when the request
// does not wait any more.
func (p *Pool) Cancel(t Ticket) bool { return p.queue.cancel(t) }

// Yield takes the first waiter out of the queue, for another host to run.
func (p *Pool) Yield() (Ticket, bool) {
	if p.queue.len() == 0 {
		return 0, false
	}
	return p.queue.pop().ticket, true
}

// Queued returns the number of waiting requests.
func (p *Pool) Queued() int { return p.queue.len() }

// InFlight returns the number of requests on one server.
func (p *Pool) InFlight(server string) int { return p.used[server] }

// Free returns how many requests could start now.
func (p *Pool) Free(limits []Limit) int {
	n := 0
	for _, l := range limits {
		n += max(0, l.Slots-p.used[l.Server])
	}
	return max(0, n-p.queue.len())
}

// Service returns the estimated time of one request.
func (p *Pool) Service() time.Duration { return p.service }
