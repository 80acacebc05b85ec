package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testCapacity = 20

// poolModel calls a pool with random requests, completions and limits, and checks
// its verdicts against its own record of queued and running requests.
type poolModel struct {
	t       *rapid.T
	now     time.Time
	pool    *Pool
	limits  []Limit
	running map[string]int
	waiting map[Ticket]*waitingRequest
}

// waitingRequest is a queued request with the number of later requests that have
// started before it.
type waitingRequest struct {
	deadline   time.Time
	passedOver int
}

func (p *poolModel) applyVerdicts(verdicts []Verdict) {
	for _, v := range verdicts {
		w := p.waiting[v.Ticket]
		if w == nil {
			p.t.Fatalf("verdict on ticket %d, which is not queued", v.Ticket)
		}
		if v.Server != "" {
			p.recordStart(v, w)
		}
		delete(p.waiting, v.Ticket)
		if v.Server == "" && v.RetryAfter <= 0 {
			p.t.Fatalf("rejected (%s) without a retry delay", v.Reason)
		}
	}
}

func (p *poolModel) recordStart(v Verdict, w *waitingRequest) {
	p.running[v.Server]++
	if p.running[v.Server] > p.limit(v.Server) {
		p.t.Fatalf("%d requests on %s, limit %d", p.running[v.Server], v.Server, p.limit(v.Server))
	}
	if !p.now.Before(w.deadline) {
		p.t.Fatalf("started %v after its deadline", p.now.Sub(w.deadline))
	}
	for ticket, other := range p.waiting {
		if ticket < v.Ticket {
			other.passedOver++
		}
	}
	if oldest := p.oldest(); oldest != nil && oldest.passedOver >= oldestEvery+testCapacity*oldestEvery {
		p.t.Fatalf("the oldest request was passed over %d times", oldest.passedOver)
	}
}

func (p *poolModel) oldest() *waitingRequest {
	var best Ticket
	for t := range p.waiting {
		if best == 0 || t < best {
			best = t
		}
	}
	return p.waiting[best]
}

func (p *poolModel) limit(server string) int {
	for _, l := range p.limits {
		if l.Server == server {
			return l.Slots
		}
	}
	return 0
}

func (p *poolModel) admit(t *rapid.T) {
	r := Request{
		Priority: rapid.IntRange(0, MaxPriority).Draw(t, "priority"),
		Deadline: p.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "left")) * time.Millisecond),
	}
	p.waiting[p.pool.lastTicket+1] = &waitingRequest{deadline: r.Deadline}
	_, verdicts := p.pool.Admit(p.now, r, p.limits)
	p.applyVerdicts(verdicts)
}

func (p *poolModel) done(t *rapid.T) {
	server := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server")
	if p.running[server] == 0 {
		return
	}
	p.running[server]--
	p.applyVerdicts(p.pool.Done(p.now, server, time.Duration(rapid.IntRange(0, 50).Draw(t, "took"))*time.Millisecond, p.limits))
}

func (p *poolModel) check(*rapid.T) {
	if p.pool.Queued() != len(p.waiting) || p.pool.Queued() > testCapacity {
		p.t.Fatalf("the pool has %d queued requests, the model %d", p.pool.Queued(), len(p.waiting))
	}
	for server, n := range p.running {
		if p.pool.InFlight(server) != n {
			p.t.Fatalf("the pool has %d requests in flight on %s, the model %d", p.pool.InFlight(server), server, n)
		}
	}
}

func TestPoolRespectsLimitsAndDeadlines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &poolModel{
			t: t, now: time.Unix(1000, 0), pool: NewPool(testCapacity), running: map[string]int{},
			waiting: map[Ticket]*waitingRequest{}, limits: []Limit{{"a", 3}, {"b", 1}},
		}
		t.Repeat(map[string]func(*rapid.T){
			"":       p.check,
			"admit":  p.admit,
			"admit2": p.admit,
			"done":   p.done,
			"wait": func(t *rapid.T) {
				p.now = p.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"limits": func(t *rapid.T) {
				p.limits = []Limit{{"a", rapid.IntRange(0, 3).Draw(t, "a")}, {"b", rapid.IntRange(0, 2).Draw(t, "b")}}
			},
			"cancel": func(t *rapid.T) {
				ticket := Ticket(rapid.Uint64Range(1, uint64(p.pool.lastTicket)+1).Draw(t, "ticket"))
				if p.pool.Cancel(ticket) != (p.waiting[ticket] != nil) {
					t.Fatalf("Cancel(%d) does not report whether the request was queued", ticket)
				}
				delete(p.waiting, ticket)
			},
		})
	})
}

// startsUntilServed returns the number of starts until a request of the lowest
// priority starts while more urgent requests keep arriving, or -1 if it is not
// started within 1000 starts.
func startsUntilServed(pop func(*queue) *waiter) int {
	far := time.Unix(2000, 0)
	q := &queue{}
	q.push(&waiter{ticket: 1, priority: MaxPriority, startBy: far})
	for i := range 1000 {
		q.push(&waiter{ticket: Ticket(2 + 2*i), startBy: far})
		q.push(&waiter{ticket: Ticket(3 + 2*i), startBy: far})
		if pop(q).ticket == 1 {
			return i + 1
		}
	}
	return -1
}

func TestLowPriorityIsNotStarved(t *testing.T) {
	if n := startsUntilServed((*queue).pop); n > oldestEvery || n < 0 {
		t.Fatalf("the low-priority request started after %d starts, limit %d", n, oldestEvery)
	}
	strict := func(q *queue) *waiter { return q.remove(0) }
	if n := startsUntilServed(strict); n >= 0 {
		t.Fatalf("with strict priorities the low-priority request started after %d starts", n)
	}
}

func TestAdmitRejectReasons(t *testing.T) {
	now := time.Unix(1000, 0)
	one := []Limit{{"a", 1}}
	in := func(d time.Duration) time.Time { return now.Add(d) }
	for _, c := range []struct {
		name   string
		queue  []Request
		next   Request
		limits []Limit
		want   Reason
	}{
		{"queued", nil, Request{0, in(2 * time.Second)}, one, ""},
		{"no slots", nil, Request{0, in(2 * time.Second)}, nil, ReasonNoSlots},
		{"no time left", nil, Request{0, in(5 * time.Millisecond)}, one, ReasonLate},
		{"would wait too long", repeatRequest(3, Request{0, in(150 * time.Millisecond)}), Request{0, in(155 * time.Millisecond)}, one, ReasonLate},
		{"urgent request precedes less urgent ones", repeatRequest(3, Request{7, in(2 * time.Second)}), Request{0, in(160 * time.Millisecond)}, one, ""},
		{"full", repeatRequest(4, Request{0, in(2 * time.Second)}), Request{1, in(2 * time.Second)}, one, ReasonFull},
		{"displaces a less urgent request", repeatRequest(4, Request{7, in(2 * time.Second)}), Request{1, in(2 * time.Second)}, one, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPool(4)
			p.Try(one)
			for _, r := range c.queue {
				p.Admit(now, r, one)
			}
			ticket, verdicts := p.Admit(now, c.next, c.limits)
			got := Reason("")
			for _, v := range verdicts {
				if v.Ticket == ticket {
					got = v.Reason
				}
			}
			if got != c.want {
				t.Fatalf("reject reason %q, want %q", got, c.want)
			}
		})
	}
}

func repeatRequest(n int, r Request) []Request {
	out := make([]Request, n)
	for i := range out {
		out[i] = r
	}
	return out
}
