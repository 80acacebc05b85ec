// Package share decides how much work regions may take from each other, how
// much may cross a link, and how fast callers may move. It is pure: time is an
// argument.
//
// Every cap is divided over the entry hosts that the document names, never
// over those seen alive: hosts that cannot see each other then still divide by
// the same number, and what they admit adds up to no more than the cap.
package share

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiatray/internal/core/document"
)

// Flow is the work of one service that belongs to callers of another region.
type Flow struct {
	Service string `json:"service"`
	// From is the home region of the callers.
	From string `json:"from"`
}

// Route is the traffic of one service to another region.
type Route struct {
	// Service is empty for all services together.
	Service string
	To      string
}

// Limits is one entry host's part of the caps of a document.
type Limits struct {
	// hosts divide the caps of the host's region, sorted.
	hosts []string
	// Flows is how many requests of each flow the host may run at once.
	Flows map[Flow]int
	// Totals is the same for all flows of a service together.
	Totals map[string]int
	// Routes is how many bytes a second the host may send on each route. A
	// route that the document has no link for is absent and not bounded.
	Routes map[Route]int64
	// Deadlines is the longest deadline of any class of each service.
	Deadlines map[string]time.Duration
	// Warmups is how long each service's servers take to warm up.
	Warmups map[string]time.Duration
}

// LimitsOf returns a host's part of the caps of a document. A host that the
// document does not name has no part.
func LimitsOf(ix *document.Index, host string) *Limits {
	l := &Limits{
		Flows: map[Flow]int{}, Totals: map[string]int{}, Routes: map[Route]int64{},
		Deadlines: map[string]time.Duration{}, Warmups: map[string]time.Duration{},
	}
	h := ix.Host(host)
	if h == nil {
		return l
	}
	l.hosts = hostsOf(ix.Region(h.Region))
	p := place{rank: slices.Index(l.hosts, host), count: len(l.hosts)}
	for i := range ix.Doc.Services {
		l.addService(ix, p, h.Region, &ix.Doc.Services[i])
	}
	for i := range ix.Doc.Regions {
		l.addRoute(ix.Doc, p, h.Region, "", ix.Doc.Regions[i].Name)
	}
	return l
}

func hostsOf(r *document.Region) []string {
	var out []string
	for _, d := range r.Domains {
		for _, h := range d.EntryHosts {
			out = append(out, h.Name)
		}
	}
	slices.Sort(out)
	return out
}

// Slots returns how many slots a region has for a service.
func Slots(ix *document.Index, service, region string) int {
	s, r := ix.Service(service), ix.Region(region)
	if s == nil || r == nil {
		return 0
	}
	n := 0
	for _, d := range r.Domains {
		n += len(s.In(d.Name)) * s.Slots
	}
	return n
}

func (l *Limits) addService(ix *document.Index, p place, region string, s *document.Service) {
	slots := Slots(ix, s.Name, region)
	l.Totals[s.Name] = p.part(capOf(ix.Doc.Caps.Fill(s.Name, region), slots), s.Name)
	for _, c := range s.Classes {
		l.Deadlines[s.Name] = max(l.Deadlines[s.Name], c.Deadline.D())
	}
	l.Warmups[s.Name] = s.ColdStart.Warmup.D()
	for _, from := range ix.Doc.Regions {
		if from.Name == region {
			continue
		}
		share, _ := ix.Doc.Caps.Taken(s.Name, from.Name, region)
		l.Flows[Flow{Service: s.Name, From: from.Name}] = p.part(capOf(share, slots), s.Name+"/"+from.Name)
		l.addRoute(ix.Doc, p, region, s.Name, from.Name)
	}
}

func (l *Limits) addRoute(doc *document.Document, p place, region, service, to string) {
	mbps, ok := doc.LinkMbps(service, region, to)
	if !ok || to == region {
		return
	}
	const bytesPerMegabit = 1e6 / 8
	l.Routes[Route{Service: service, To: to}] = int64(mbps * bytesPerMegabit / float64(p.count))
}

func capOf(share document.Percent, slots int) int {
	return int(math.Floor(share.Fraction() * float64(slots)))
}

// place is a host's rank among the hosts that divide a cap.
type place struct{ rank, count int }

// leastPart is what a host is given before the next one is given anything:
// caps of a few slots would fall into parts too small to be found free.
const leastPart = 2

// part returns this host's part of a whole number. For one set of hosts the
// parts add up to total, and no part shrinks when total grows: hosts that
// divide different totals stay under the larger one together. The seed varies
// which hosts come first.
func (p place) part(total int, seed string) int {
	rank := (p.rank + int(xxhash.Sum64String(seed)%uint64(p.count))) % p.count
	rest := total - leastPart*p.count
	if rest < 0 {
		return min(leastPart, max(0, total-leastPart*rank))
	}
	n := leastPart + rest/p.count
	if rank < rest%p.count {
		n++
	}
	return n
}

// Takers returns the hosts of a region that have a part of a flow under a
// document: senders use it to find hosts that can take work.
func Takers(ix *document.Index, f Flow, region string) map[string]bool {
	out := map[string]bool{}
	r := ix.Region(region)
	if r == nil {
		return out
	}
	share, _ := ix.Doc.Caps.Taken(f.Service, f.From, region)
	total := capOf(share, Slots(ix, f.Service, region))
	hosts := hostsOf(r)
	for i, h := range hosts {
		out[h] = place{rank: i, count: len(hosts)}.part(total, f.Service+"/"+f.From) > 0
	}
	return out
}

// atMost returns the smaller of two hosts' parts for every cap.
func (l *Limits) atMost(o *Limits) *Limits {
	out := &Limits{
		hosts: l.hosts, Flows: map[Flow]int{}, Totals: map[string]int{}, Routes: map[Route]int64{},
		Deadlines: l.Deadlines, Warmups: l.Warmups,
	}
	for k, v := range l.Flows {
		out.Flows[k] = min(v, o.Flows[k])
	}
	for k, v := range l.Totals {
		out.Totals[k] = min(v, o.Totals[k])
	}
	maps.Copy(out.Routes, l.Routes)
	for k, v := range o.Routes {
		if w, ok := out.Routes[k]; ok {
			v = min(v, w)
		}
		out.Routes[k] = v
	}
	return out
}
