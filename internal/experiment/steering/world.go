// Package steering compares ways to steer on one load in virtual time. It runs
// the decisions of packages lookup and share; the network is a table of delays
// and a server is a number of slots.
package steering

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cassiatray/internal/core/document"
	"cassiatray/internal/experiment/event"
)

// Sizes of the world: the franchise's depot-orders.
const (
	service      = "depot-orders"
	domains      = 6 // two in each region
	hostsEach    = 4
	serverSlots  = 3
	meanWork     = 50 * time.Millisecond
	clientDelay  = 8 * time.Millisecond
	domainDelay  = 500 * time.Microsecond
	regionDelay  = 35 * time.Millisecond
	answerTTL    = 2 * time.Second
	regionShare  = 30 // percent of its slots that a region gives another
	archiveShare = 0.2
	// serverQueue bounds what waits at a server, and domainQueue what waits
	// for a slot in a domain, for each slot.
	serverQueue = 16
	domainQueue = 4
)

var regionNames = []string{"sask", "alta", "mani"}

// serversIn is how many of the 20 servers stand in each domain.
var serversIn = [domains]int{4, 4, 3, 3, 3, 3}

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// class is a kind of request.
type class struct {
	name     string
	deadline time.Duration
}

var classes = []class{{"stock", 2 * time.Second}, {"archive", 20 * time.Second}}

func regionOf(domain int) int { return domain / 2 }

func domainName(d int) string { return fmt.Sprintf("%s-%c", regionNames[regionOf(d)], 'a'+d%2) }

func hostName(d, h int) string { return fmt.Sprintf("%s-%d", domainName(d), h+1) }

// newDocument describes the world.
func newDocument() *document.Document {
	doc := &document.Document{Weigh: document.WeighHeadroom}
	doc.Lookup = document.Lookup{TTL: document.Duration(answerTTL), Hosts: 3}
	doc.Caps.Shift = document.ShiftCap{Share: 40, Per: document.Duration(10 * time.Second)}
	svc := document.Service{Name: service, Slots: serverSlots}
	for _, c := range classes {
		svc.Classes = append(svc.Classes, document.Class{Name: c.name, Deadline: document.Duration(c.deadline)})
	}
	for r, region := range regionNames {
		out := document.Region{Name: region}
		for d := 2 * r; d < 2*r+2; d++ {
			dom := document.Domain{Name: domainName(d)}
			for h := range hostsEach {
				dom.EntryHosts = append(dom.EntryHosts, document.EntryHost{Name: hostName(d, h)})
			}
			for range serversIn[d] {
				svc.Servers = append(svc.Servers, document.BackendServer{Name: fmt.Sprint(len(svc.Servers)), Domain: dom.Name})
			}
			out.Domains = append(out.Domains, dom)
		}
		doc.Regions = append(doc.Regions, out)
		for _, to := range regionNames {
			if to != region {
				doc.Caps.Regions = append(doc.Caps.Regions, document.RegionCap{Service: service, From: region, To: to, Share: regionShare})
			}
		}
	}
	doc.Services = []document.Service{svc}
	return document.NewIndex(doc).Doc
}

// request is one request of a caller.
type request struct {
	client int
	home   int // region
	class  int
	began  time.Duration
	// gave up at this time
	limit time.Duration
}

// world is one run.
type world struct {
	now      time.Duration
	length   time.Duration
	queue    event.Queue
	rng      *rand.Rand
	scenario Scenario
	policy   policy
	servers  []*server
	result   Result
	// foreign counts work in flight by home region and region that runs it.
	foreign [3][3]int
}

// server is one backend server.
type server struct {
	domain  int
	running int
	waiting []func() // work at the server without a slot
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) after(d time.Duration, do func()) {
	w.queue.Add(w.now+d, do)
}

// faulty reports whether the fault is there: in the middle third of a run.
func (w *world) faulty() bool { return w.now >= w.length/3 && w.now < 2*w.length/3 }

// up reports whether a domain's hosts and servers live.
func (w *world) up(domain int) bool {
	return !(w.scenario.LoseRegion && w.faulty() && regionOf(domain) == 0)
}

// reaches reports whether hosts of two domains can talk.
func (w *world) reaches(a, b int) bool {
	cut := w.scenario.CutDomain && w.faulty() && (a == 0) != (b == 0)
	return !cut && w.up(a) && w.up(b)
}

func crossing(a, b int) time.Duration {
	switch {
	case a == b:
		return 0
	case regionOf(a) == regionOf(b):
		return domainDelay
	}
	return regionDelay
}

// work draws how long a request runs; cold servers take up to three times as
// long.
func (w *world) work() time.Duration {
	d := time.Duration(w.rng.ExpFloat64() * float64(meanWork))
	if w.scenario.Cold && w.faulty() {
		d *= 3
	}
	return d
}

// arrive makes callers of a region arrive as a Poisson stream.
func (w *world) arrive(region int) {
	slots := 0.0
	for d := range domains {
		if regionOf(d) == region {
			slots += float64(serversIn[d] * serverSlots)
		}
	}
	load := w.scenario.Load
	if w.scenario.Surge && w.faulty() && region == 0 {
		load *= 3
	}
	rate := slots * load / meanWork.Seconds()
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		r := &request{client: w.rng.IntN(1 << 16), home: region, began: w.now}
		if w.rng.Float64() < archiveShare {
			r.class = 1
		}
		r.limit = w.now + classes[r.class].deadline
		w.policy.start(w, r)
		w.arrive(region)
	})
}

// enter and leave count work of another region; they return no verdict.
func (w *world) enter(r *request, domain int) {
	to := regionOf(domain)
	w.foreign[r.home][to]++
	if to == r.home {
		return
	}
	slots := 0
	for d := range domains {
		if regionOf(d) == to {
			slots += serversIn[d] * serverSlots
		}
	}
	limit := slots * regionShare / 100
	w.result.CapUse = max(w.result.CapUse, float64(w.foreign[r.home][to])/float64(limit))
}

func (w *world) leave(r *request, domain int) { w.foreign[r.home][regionOf(domain)]-- }

// run starts a request on a server, behind those that wait there.
func (w *world) run(s *server, r *request, done func()) {
	w.enter(r, s.domain)
	begin := func() {
		s.running++
		w.after(w.work(), func() {
			s.running--
			w.leave(r, s.domain)
			done()
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
		})
	}
	if s.running < serverSlots {
		begin()
	} else {
		s.waiting = append(s.waiting, begin)
	}
	w.result.SlotUse = max(w.result.SlotUse, float64(s.running+len(s.waiting))/serverSlots)
}

func (w *world) answered(r *request, crossed time.Duration) {
	w.after(crossed+clientDelay, func() {
		took := w.now - r.began
		w.result.add(r.class, took, w.now <= r.limit)
	})
}
