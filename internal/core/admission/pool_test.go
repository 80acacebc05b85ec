package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testCapacity = 20

// poolRun drives a pool with random requests, ends and limits and judges its
// verdicts from outside.
type poolRun struct {
	t       *rapid.T
	now     time.Time
	pool    *Pool
	limits  []Limit
	running map[string]int
	waiting map[Ticket]*seen
}

// seen is one waiting request: when it must have started, and how many starts
// it has been the oldest for.
type seen struct {
	deadline time.Time
	passed   int
}

func (p *poolRun) take(verdicts []Verdict) {
	for _, v := range verdicts {
		w := p.waiting[v.Ticket]
		if w == nil {
			p.t.Fatalf("verdict on ticket %d, which does not wait", v.Ticket)
		}
		if v.Server != "" {
			p.startOne(v, w)
		}
		delete(p.waiting, v.Ticket)
		if v.Server == "" && v.RetryAfter <= 0 {
			p.t.Fatalf("refused (%s) without a time to try again", v.Reason)
		}
	}
}

func (p *poolRun) startOne(v Verdict, w *seen) {
	p.running[v.Server]++
	if p.running[v.Server] > p.limit(v.Server) {
		p.t.Fatalf("%d requests on %s, limit %d", p.running[v.Server], v.Server, p.limit(v.Server))
	}
	if !p.now.Before(w.deadline) {
		p.t.Fatalf("started %v after its deadline", p.now.Sub(w.deadline))
	}
	for ticket, other := range p.waiting {
		if ticket < v.Ticket {
			other.passed++
		}
	}
	if oldest := p.oldest(); oldest != nil && oldest.passed >= fairEvery+testCapacity*fairEvery {
		p.t.Fatalf("the oldest waiter was passed %d times", oldest.passed)
	}
}

func (p *poolRun) oldest() *seen {
	var best Ticket
	for t := range p.waiting {
		if best == 0 || t < best {
			best = t
		}
	}
	return p.waiting[best]
}

func (p *poolRun) limit(server string) int {
	for _, l := range p.limits {
		if l.Server == server {
			return l.Slots
		}
	}
	return 0
}

func (p *poolRun) admit(t *rapid.T) {
	r := Request{
		Priority: rapid.IntRange(0, MaxPriority).Draw(t, "priority"),
		Deadline: p.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "left")) * time.Millisecond),
	}
	p.waiting[p.pool.last+1] = &seen{deadline: r.Deadline}
	_, verdicts := p.pool.Admit(p.now, r, p.limits)
	p.take(verdicts)
}

func (p *poolRun) done(t *rapid.T) {
	server := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server")
	if p.running[server] == 0 {
		return
	}
	p.running[server]--
	p.take(p.pool.Done(p.now, server, time.Duration(rapid.IntRange(0, 50).Draw(t, "took"))*time.Millisecond, p.limits))
}

func (p *poolRun) check(*rapid.T) {
	if p.pool.Queued() != len(p.waiting) || p.pool.Queued() > testCapacity {
		p.t.Fatalf("%d queued, %d waiting", p.pool.Queued(), len(p.waiting))
	}
	for server, n := range p.running {
		if p.pool.InFlight(server) != n {
			p.t.Fatalf("%d in flight on %s, %d counted", p.pool.InFlight(server), server, n)
		}
	}
}

func TestPoolHoldsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &poolRun{
			t: t, now: time.Unix(1000, 0), pool: NewPool(testCapacity), running: map[string]int{},
			waiting: map[Ticket]*seen{}, limits: []Limit{{"a", 3}, {"b", 1}},
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
				ticket := Ticket(rapid.Uint64Range(1, uint64(p.pool.last)+1).Draw(t, "ticket"))
				if p.pool.Cancel(ticket) != (p.waiting[ticket] != nil) {
					t.Fatalf("cancel of ticket %d", ticket)
				}
				delete(p.waiting, ticket)
			},
		})
	})
}

// starts returns after how many starts a patient request runs that waits under
// an endless stream of urgent ones, or -1 when it never does.
func starts(pop func(*queue) *waiter) int {
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

func TestPatientRequestIsNotStarved(t *testing.T) {
	if n := starts((*queue).pop); n > fairEvery || n < 0 {
		t.Fatalf("started after %d starts, bound %d", n, fairEvery)
	}
	strict := func(q *queue) *waiter { return q.remove(0) }
	if n := starts(strict); n >= 0 {
		t.Fatalf("strict priorities started it after %d starts", n)
	}
}

func TestPoolOrdersAndRefuses(t *testing.T) {
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
		{"waits", nil, Request{0, in(2 * time.Second)}, one, ""},
		{"no slots", nil, Request{0, in(2 * time.Second)}, nil, ReasonNoSlots},
		{"no time left", nil, Request{0, in(5 * time.Millisecond)}, one, ReasonLate},
		{"would wait too long", fill(3, Request{0, in(150 * time.Millisecond)}), Request{0, in(155 * time.Millisecond)}, one, ReasonLate},
		{"urgent goes ahead of patient", fill(3, Request{7, in(2 * time.Second)}), Request{0, in(160 * time.Millisecond)}, one, ""},
		{"full", fill(4, Request{0, in(2 * time.Second)}), Request{1, in(2 * time.Second)}, one, ReasonFull},
		{"displaces", fill(4, Request{7, in(2 * time.Second)}), Request{1, in(2 * time.Second)}, one, ""},
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
				t.Fatalf("refused with %q, want %q", got, c.want)
			}
		})
	}
}

func fill(n int, r Request) []Request {
	out := make([]Request, n)
	for i := range out {
		out[i] = r
	}
	return out
}
