package steering

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"cassiatray/internal/core/document"
	"cassiatray/internal/core/lookup"
	"cassiatray/internal/core/share"
)

// refresh is how often views are built, and loads are as old as that.
const refresh = 500 * time.Millisecond

// capacity is the project's policy: look-ups by weight, work offered from place
// to place, admission at the domain that owns the servers, caps at the
// receiver.
type capacity struct {
	index  *document.Index
	policy share.Policy
	plan   *lookup.Plan
	levels share.Levels
	pacer  *share.Pacer
	grants [domains * hostsEach]*share.Grants
	loads  [domains]share.Load
	owners [domains]*owner
	cached map[int]answer
	takers map[[2]int]map[string]bool // by home region and region
}

// answer is a look-up answer that a caller keeps.
type answer struct {
	host  int
	until time.Duration
}

// owner admits work to the servers of one domain: it knows every slot.
type owner struct {
	domain int
	queue  [2][]waiting // by class, the urgent one first
}

type waiting struct {
	r       *request
	begin   func(*server)
	expired func()
}

func newCapacity(w *world) policy {
	doc := newDocument()
	if w.scenario.TwoShifts {
		at := epoch.Add(w.length / 12)
		doc.Drains = []document.Drain{{Region: regionNames[0], At: at}, {Domain: domainName(3), At: at}}
	}
	p := &capacity{index: document.NewIndex(doc), policy: share.PolicyOf(doc.Weigh), pacer: share.NewPacer(), cached: map[int]answer{}, takers: map[[2]int]map[string]bool{}}
	for i := range p.grants {
		p.boot(w, i, epoch.Add(-time.Hour))
	}
	for d := range p.owners {
		p.owners[d] = &owner{domain: d}
	}
	p.tick(w)
	if w.scenario.Replace {
		w.after(w.length/2, func() {
			for i := 0; i < len(p.grants); i += 2 {
				p.boot(w, i, w.time())
			}
		})
	}
	return p
}

func (p *capacity) boot(w *world, host int, started time.Time) {
	p.grants[host] = share.NewGrants(started)
	name := hostName(host/hostsEach, host%hostsEach)
	p.grants[host].Put(w.time(), share.Document{Sequence: 1, Accepted: epoch.Add(-time.Hour), Limits: share.LimitsOf(p.index, name)})
}

// tick builds the view that all hosts use until the next one.
func (p *capacity) tick(w *world) {
	now := w.time()
	drains := share.DrainsOf(p.index, service)
	rate := share.RateOf(p.index.Doc.Caps.Shift, answerTTL)
	p.levels = drains.At(p.pacer.Step(now, drains.Shifts, share.NewSchedule(drains.Shifts, rate)))
	var hosts []lookup.Host
	for d := range domains {
		if !w.up(d) {
			continue
		}
		p.report(w, d)
		for h := range hostsEach {
			hosts = append(hosts, lookup.Host{Name: hostName(d, h), Domain: domainName(d), Region: regionNames[regionOf(d)]})
		}
	}
	p.plan = lookup.NewPlan(p.index, hosts, lookup.Weights{
		Away: func(_, region string) float64 { return p.levels.Regions[region] },
		Domain: func(_, domain string) float64 {
			d := domainNumber(domain)
			return p.policy.Weight(serversIn[d]*serverSlots, p.loads[d], now) * (1 - p.levels.Domains[domain])
		},
	})
	w.after(refresh, func() { p.tick(w) })
}

func (p *capacity) report(w *world, d int) {
	if w.scenario.Freeze && w.now >= w.length/3 {
		return
	}
	l := share.Load{Slots: serversIn[d] * serverSlots, Measured: w.time()}
	for _, s := range w.servers {
		if s.domain == d {
			l.InFlight += s.running
		}
	}
	l.Queued = len(p.owners[d].queue[0]) + len(p.owners[d].queue[1])
	if w.scenario.Lie && d == 0 {
		l.InFlight, l.Queued = 0, 0
	}
	p.loads[d] = l
}

func domainNumber(name string) int {
	region, letter, _ := strings.Cut(name, "-")
	return 2*slices.Index(regionNames, region) + int(letter[0]-'a')
}

func hostNumber(h lookup.Host) int {
	var n int
	fmt.Sscan(h.Name[strings.LastIndexByte(h.Name, '-')+1:], &n)
	return domainNumber(h.Domain)*hostsEach + n - 1
}

// host returns the entry host that a caller uses: of its last answer, while
// that may be used and the host lives.
func (p *capacity) host(w *world, r *request) int {
	key := r.home<<16 | r.client
	a, ok := p.cached[key]
	if ok && w.now < a.until && w.up(a.host/hostsEach) {
		return a.host
	}
	regions := slices.Concat(regionNames[r.home:], regionNames[:r.home])
	spread := lookup.SpreadOf(netip.AddrFrom4([4]byte{10, byte(r.home), byte(r.client >> 8), byte(r.client)}))
	hosts := p.plan.Choose(nil, lookup.Query{Service: service, Regions: regions, Spread: spread, Count: 3})
	for _, h := range hosts {
		if n := hostNumber(h); w.up(n / hostsEach) {
			p.cached[key] = answer{host: n, until: w.now + answerTTL}
			return n
		}
	}
	return -1
}

func (p *capacity) start(w *world, r *request) {
	w.result.sent[r.class]++
	host := p.host(w, r)
	if host < 0 {
		return
	}
	w.after(clientDelay, func() { p.offer(w, r, host, p.places(w, r, host), 0) })
}

// Bounds of the places that a request is offered to.
const (
	nearTakers = 3
	farTakers  = 2
	maxPlaces  = 6
)

// places are the hosts to offer a request to, in order.
func (p *capacity) places(w *world, r *request, host int) []int {
	own := host / hostsEach
	out := []int{host}
	if near := own ^ 1; regionOf(own) == r.home && w.reaches(own, near) {
		out = append(out, near*hostsEach+w.rng.IntN(hostsEach))
	} else if regionOf(own) != r.home {
		out = append(out, p.pick(w, r, own, regionOf(own), nearTakers)...)
	}
	for k := range len(regionNames) {
		if region := (r.home + k) % len(regionNames); region != regionOf(own) {
			out = append(out, p.pick(w, r, own, region, farTakers)...)
		}
	}
	out = slices.DeleteFunc(out, func(h int) bool {
		d := h / hostsEach
		return p.levels.Done(domainName(d), regionNames[regionOf(d)])
	})
	return out[:min(len(out), maxPlaces)]
}

// pick picks hosts of a region that have a part of the cap.
func (p *capacity) pick(w *world, r *request, own, region, n int) []int {
	takers := p.takers[[2]int{r.home, region}]
	if takers == nil {
		takers = share.Takers(p.index, share.Flow{Service: service, From: regionNames[r.home]}, regionNames[region])
		p.takers[[2]int{r.home, region}] = takers
	}
	var list []int
	for d := 2 * region; d < 2*region+2; d++ {
		for h := range hostsEach {
			if w.reaches(own, d) && (region == r.home || takers[hostName(d, h)]) {
				list = append(list, d*hostsEach+h)
			}
		}
	}
	w.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), n)]
}

// offer gives a request to one place after another.
func (p *capacity) offer(w *world, r *request, host int, places []int, crossed time.Duration) {
	if len(places) == 0 || w.now >= r.limit {
		return
	}
	to := places[0]
	delay := crossing(host/hostsEach, to/hostsEach)
	w.after(delay, func() {
		refused := func() { w.after(delay, func() { p.offer(w, r, host, places[1:], crossed) }) }
		p.admit(w, r, to, delay, refused)
	})
}

// admit runs a request at a domain under the caps on work of other regions.
func (p *capacity) admit(w *world, r *request, host int, delay time.Duration, refused func()) {
	domain := host / hostsEach
	var lease share.Lease
	g := p.grants[host]
	if regionOf(domain) != r.home {
		var err error
		flow := share.Flow{Service: service, From: regionNames[r.home]}
		lease, err = g.Admit(w.time(), epoch.Add(r.limit), flow, 0)
		if err != nil {
			refused()
			return
		}
	}
	o := p.owners[domain]
	begin := func(s *server) {
		w.run(s, r, func() {
			g.Release(lease)
			w.answered(r, delay)
			o.next(w)
		})
	}
	if s := o.free(w); s != nil {
		begin(s)
		return
	}
	if len(o.queue[0])+len(o.queue[1]) >= domainQueue*serversIn[domain]*serverSlots {
		g.Release(lease)
		refused()
		return
	}
	o.queue[r.class] = append(o.queue[r.class], waiting{r: r, begin: begin, expired: func() { g.Release(lease) }})
}

// free returns the server of the domain with the most free slots, or nil.
func (o *owner) free(w *world) *server {
	var best *server
	for _, s := range w.servers {
		if s.domain == o.domain && s.running < serverSlots && (best == nil || s.running < best.running) {
			best = s
		}
	}
	return best
}

// next gives a free slot to the most urgent request that is still in time.
func (o *owner) next(w *world) {
	for i := range o.queue {
		for len(o.queue[i]) > 0 {
			s := o.free(w)
			if s == nil {
				return
			}
			head := o.queue[i][0]
			o.queue[i] = o.queue[i][1:]
			if w.now+meanWork > head.r.limit {
				head.expired()
				continue
			}
			head.begin(s)
		}
	}
}
