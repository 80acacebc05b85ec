package steering

import (
	"slices"
)

// policy decides where requests run.
type policy interface {
	start(w *world, r *request)
}

// policies are all ways to steer, by name.
var policies = map[string]func(*world) policy{
	"random":       func(*world) policy { return &direct{pick: random} },
	"round robin":  func(*world) policy { return &direct{pick: roundRobin, next: map[int]int{}} },
	"least own":    func(*world) policy { return &direct{pick: leastOwn, own: map[[2]int]int{}} },
	"nearest only": func(*world) policy { return &direct{pick: nearest} },
	"capacity":     newCapacity,
}

// Names are the policies in the order of reports.
var Names = []string{"random", "round robin", "least own", "nearest only", "capacity"}

// direct sends a request from an entry host of the caller's home region to any
// server that it can reach; nothing bounds how much.
type direct struct {
	pick func(p *direct, w *world, host int, list []int) int
	next map[int]int
	own  map[[2]int]int
}

// entryHost returns a live host for a caller: of its home region, or of the
// next one.
func entryHost(w *world, r *request) int {
	for k := range len(regionNames) {
		region := (r.home + k) % len(regionNames)
		d := 2*region + r.client%2
		if w.up(d) {
			return d*hostsEach + r.client/2%hostsEach
		}
	}
	return -1
}

func (p *direct) start(w *world, r *request) {
	w.result.sent[r.class]++
	host := entryHost(w, r)
	domain := host / hostsEach
	var list []int
	for i, s := range w.servers {
		if w.reaches(domain, s.domain) {
			list = append(list, i)
		}
	}
	i := p.pick(p, w, host, list)
	s := w.servers[i]
	crossed := crossing(domain, s.domain)
	if p.own != nil {
		p.own[[2]int{host, i}]++
	}
	w.after(clientDelay+crossed, func() {
		if len(s.waiting) >= serverQueue*serverSlots || !w.up(s.domain) {
			p.ended(host, i)
			return
		}
		w.run(s, r, func() {
			p.ended(host, i)
			w.answered(r, crossed)
		})
	})
}

func (p *direct) ended(host, server int) {
	if p.own != nil {
		p.own[[2]int{host, server}]--
	}
}

func random(_ *direct, w *world, _ int, list []int) int { return list[w.rng.IntN(len(list))] }

func roundRobin(p *direct, _ *world, host int, list []int) int {
	p.next[host]++
	return list[(p.next[host]+host)%len(list)]
}

func leastOwn(p *direct, w *world, host int, list []int) int {
	least := p.own[[2]int{host, list[0]}]
	for _, i := range list {
		least = min(least, p.own[[2]int{host, i}])
	}
	list = slices.DeleteFunc(list, func(i int) bool { return p.own[[2]int{host, i}] > least })
	return list[w.rng.IntN(len(list))]
}

func nearest(_ *direct, w *world, host int, list []int) int {
	own := slices.DeleteFunc(slices.Clone(list), func(i int) bool {
		return regionOf(w.servers[i].domain) != regionOf(host/hostsEach)
	})
	return own[w.rng.IntN(len(own))]
}
