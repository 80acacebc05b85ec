package quota

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// simGateway is one gateway of a simulation.
type simGateway struct {
	name    string
	region  int
	client  *Client
	ledger  *Ledger
	alive   bool
	life    int
	waiting []func()
	// hosts are the gateways that it takes for serving callers.
	hosts []string
	// unconfirmedSince is since when its view is not confirmed; zero for never.
	unconfirmedSince time.Duration
	asks             int
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// simCustomer is a customer and what became of its requests.
type simCustomer struct {
	name  string
	limit Limit
	// load returns the requests per second at a time, part how they divide over gateways.
	load     func(t time.Duration) float64
	part     func(t time.Duration, gateway int) float64
	arrived  []time.Duration
	admitted []time.Duration
	by       map[Verdict]int
	// waited counts the requests that waited for a reply after settled.
	waited  int
	settled time.Duration
}

// sim is a system of gateways in virtual time.
type sim struct {
	t         time.Duration
	random    *rand.Rand
	queue     simQueue
	seq       int
	gateways  []*simGateway
	names     []string
	customers []*simCustomer
	// cut reports whether two regions cannot reach each other, slow the share of asks that take
	// up to 150 ms.
	cut  func(t time.Duration, a, b int) bool
	slow float64
	// admittedAt, if set, is called with the gateway of each admission.
	admittedAt func(*simGateway)
	// split, if set, holds an even part of the limit for each customer and gateway, in place of
	// the design.
	split map[string]*Account
}

var simStart = time.Unix(1000, 0)

func (s *sim) now() time.Time { return simStart.Add(s.t) }

func (s *sim) at(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: max(t, s.t), seq: s.seq, do: do})
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.t+d, do) }

func newSim(seed uint64, gateways int) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1)), slow: 0.05, cut: func(time.Duration, int, int) bool { return false }}
	for i := range gateways {
		s.names = append(s.names, fmt.Sprint("g", i))
	}
	for i := range gateways {
		s.gateways = append(s.gateways, &simGateway{name: s.names[i], region: i % 3, hosts: s.names})
		s.start(s.gateways[i])
	}
	return s
}

// start starts a gateway with empty memory.
func (s *sim) start(g *simGateway) {
	g.client, g.ledger, g.alive, g.waiting = NewClient(), NewLedger(), true, nil
	g.life++
	life := g.life
	var tick func()
	tick = func() {
		if g.alive && g.life == life {
			s.after(max(time.Millisecond, s.due(g).Sub(s.now())), tick)
		}
	}
	s.after(time.Duration(s.random.IntN(500))*time.Millisecond, tick)
}

func (s *sim) kill(g *simGateway) { g.alive = false; g.life++ }

// delay is how long a message takes one way.
func (s *sim) delay(a, b *simGateway) time.Duration {
	d := time.Millisecond
	if a.region != b.region {
		d = 35 * time.Millisecond
	}
	if s.random.Float64() < s.slow {
		d += time.Duration(s.random.IntN(40)) * time.Millisecond
	}
	return d
}

func (s *sim) due(g *simGateway) time.Time {
	g.ledger.List(s.now(), float64(len(g.hosts)))
	asks, next := g.client.Due(s.now(), ChooseIssuers(g.hosts), true)
	for _, ask := range asks {
		s.send(g, ask)
	}
	return next
}

func (s *sim) find(name string) *simGateway {
	for _, g := range s.gateways {
		if g.name == name {
			return g
		}
	}
	return nil
}

func (s *sim) limitOf(customer string) Limit {
	for _, c := range s.customers {
		if c.name == customer {
			return c.limit
		}
	}
	panic(customer)
}

func (s *sim) send(g *simGateway, ask Ask) {
	to, life := s.find(ask.To), g.life
	g.asks++
	end := func(d time.Duration, do func()) {
		s.after(d, func() {
			if g.life != life {
				return
			}
			do()
			s.due(g)
			s.wake(g)
		})
	}
	fail := func(d time.Duration) { end(d, func() { g.client.Failed(s.now(), ask) }) }
	d := s.delay(g, to)
	if !to.alive {
		fail(2 * d)
		return
	}
	if s.cut(s.t, g.region, to.region) {
		fail(250 * time.Millisecond)
		return
	}
	toLife := to.life
	s.after(d, func() {
		if to.life != toLife {
			fail(d)
			return
		}
		counts := Counts{Listed: len(to.hosts), OtherIssuers: ask.OtherIssuers}
		if to.unconfirmedSince > 0 {
			counts.ViewAge = s.t - to.unconfirmedSince
		}
		to.ledger.Ask(s.now(), g.name, counts)
		grants := map[string]Grant{}
		for _, u := range ask.Uses {
			grants[u.Customer] = to.ledger.Grant(s.now(), g.name, u.Customer, s.limitOf(u.Customer), u.Use)
		}
		back := s.delay(g, to)
		if s.cut(s.t, g.region, to.region) {
			fail(250*time.Millisecond - d)
			return
		}
		end(back, func() { g.client.Replied(s.now(), ask, grants) })
	})
}

// wake decides again on the requests that wait at a gateway.
func (s *sim) wake(g *simGateway) {
	waiting := g.waiting
	g.waiting = nil
	for _, w := range waiting {
		w()
	}
}

// request plays one request of a customer at a gateway.
func (s *sim) request(c *simCustomer, g *simGateway) {
	c.arrived = append(c.arrived, s.t)
	if s.split != nil {
		a := s.split[c.name+g.name]
		if a == nil {
			a = &Account{lostSince: s.now().Add(-time.Hour), spareAt: s.now(), unknown: true}
			s.split[c.name+g.name] = a
		}
		// The fallback, with the whole even part in place of a fraction of it.
		if v, _ := a.fallback(s.now(), Limit{Rate: c.limit.Rate / unknownFloor}, len(s.gateways)); v.Admitted() {
			c.admitted = append(c.admitted, s.t)
		}
		return
	}
	begun := s.t
	var decide func(repeated bool)
	decide = func(repeated bool) {
		v, _, wake := g.client.Admit(s.now(), c.name, c.limit, len(g.hosts), repeated)
		if v == Wait && s.t-begun >= 250*time.Millisecond {
			v = Refused
		}
		if v == Wait {
			if !repeated {
				if s.t >= c.settled {
					c.waited++
				}
				s.after(250*time.Millisecond, func() { s.wake(g) })
			}
			g.waiting = append(g.waiting, func() { decide(true) })
		} else {
			c.by[v]++
			if v.Admitted() {
				c.admitted = append(c.admitted, s.t)
				if s.admittedAt != nil {
					s.admittedAt(g)
				}
			}
		}
		if wake {
			life := g.life
			s.at(g.client.next.Sub(simStart), func() {
				if g.life == life {
					s.due(g)
				}
			})
		}
	}
	decide(false)
}

func (s *sim) add(name string, limit Limit, load func(time.Duration) float64) *simCustomer {
	c := &simCustomer{name: name, limit: limit, load: load, settled: 3 * time.Second, by: map[Verdict]int{}}
	c.part = func(time.Duration, int) float64 { return 1 / float64(len(s.gateways)) }
	s.customers = append(s.customers, c)
	return c
}

// run plays the system for a time. Requests to a gateway that is down go to another.
func (s *sim) run(span time.Duration) {
	const step = 10 * time.Millisecond
	for _, c := range s.customers {
		var arrivals func()
		arrivals = func() {
			for i := range s.gateways {
				mean := c.load(s.t) * c.part(s.t, i) * step.Seconds()
				for n := poisson(s.random, mean); n > 0; n-- {
					g := s.gateways[i]
					if !g.alive {
						up := slices.DeleteFunc(slices.Clone(s.gateways), func(g *simGateway) bool { return !g.alive })
						if len(up) == 0 {
							break
						}
						g = up[s.random.IntN(len(up))]
					}
					s.after(time.Duration(s.random.Int64N(int64(step))), func() { s.request(c, g) })
				}
			}
			s.after(step, arrivals)
		}
		s.at(s.t, arrivals)
	}
	for len(s.queue) > 0 && s.queue[0].at <= span {
		e := heap.Pop(&s.queue).(simEvent)
		s.t = e.at
		e.do()
	}
}

func poisson(r *rand.Rand, mean float64) int {
	n, p, end := 0, r.Float64(), math.Exp(-mean)
	for ; p > end; n++ {
		p *= r.Float64()
	}
	return n
}

const simWindow = 5 * time.Second

// over returns by how much the fullest window passes the bound, negative if none does.
func (c *simCustomer) over() float64 {
	most, start := 0, 0
	for i, at := range c.admitted {
		for at-c.admitted[start] >= simWindow {
			start++
		}
		most = max(most, i-start+1)
	}
	return float64(most) - ((c.limit.Rate*simWindow.Seconds()+c.limit.Burst)*1.1 + 20)
}

// lost returns the fraction of the requests from a time on that one bucket for all gateways, full
// at the start, admits and the gateways did not.
func (c *simCustomer) lost(from time.Duration) float64 {
	level, last := c.limit.Burst, time.Duration(0)
	within, total, admitted := 0, 0, 0
	for _, at := range c.arrived {
		level = min(max(c.limit.Burst, 1), level+c.limit.Rate*(at-last).Seconds())
		last = at
		ok := level >= 1
		if ok {
			level--
		}
		if at >= from {
			total++
			if ok {
				within++
			}
		}
	}
	for _, at := range c.admitted {
		if at >= from {
			admitted++
		}
	}
	return max(0, float64(within-admitted)) / float64(max(1, total))
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// jump is a load that grows by a factor at a time.
func jump(rate, factor float64, at time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= at {
			return rate * factor
		}
		return rate
	}
}

// customersOf adds 86 customers whose limits are 1.6 times their load: the largest has a quarter
// of the load, the smallest 1.25 requests a second.
func (s *sim) customersOf(burst float64) {
	for i := range 86 {
		load := 560 * math.Pow(1.25/560, math.Pow(float64(i)/85, 0.45))
		s.add(fmt.Sprint("c", i), Limit{Rate: 1.6 * load, Burst: max(2, 1.6*load*burst)}, constant(load))
	}
}

// worst returns the customer that is furthest over its bound.
func (s *sim) worst() *simCustomer {
	return slices.MaxFunc(s.customers, func(a, b *simCustomer) int { return cmp.Compare(a.over(), b.over()) })
}

// lost returns the fraction of all requests from a time on that were refused within the limits.
func (s *sim) lost(from time.Duration) float64 {
	lost, total := 0.0, 0.0
	for _, c := range s.customers {
		n := 0.0
		for _, at := range c.arrived {
			if at >= from {
				n++
			}
		}
		lost, total = lost+n*c.lost(from), total+n
	}
	return lost / total
}
