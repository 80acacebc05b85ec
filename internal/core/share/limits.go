// Package share limits the work that regions take from each other, the bytes that
// cross a link between regions, and the rate at which callers move between
// regions. It does no I/O and reads no clock: the caller passes the time.
//
// Every cap is divided among the entry hosts that the document lists, not among
// those that are reachable. During a network partition all hosts therefore divide
// by the same number, and what they admit adds up to no more than the cap.
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
	// hosts are the sorted entry hosts among which the region's caps are divided.
	hosts []string
	// Flows is the number of requests of each flow that the host may run at once.
	Flows map[Flow]int
	// Totals is the number for all flows of a service together.
	Totals map[string]int
	// Routes is the number of bytes per second that the host may send on each
	// route. A route without a link in the document is absent and unlimited.
	Routes map[Route]int64
	// Deadlines is the longest deadline of the classes of each service.
	Deadlines map[string]time.Duration
	// Warmups is the warm-up time of each service's servers.
	Warmups map[string]time.Duration
}

// LimitsOf returns a host's part of the caps of a document. A host that the
// document does not list has empty limits.
func LimitsOf(ix *document.Index, host string) *Limits {
	l := &Limits{
		Flows: map[Flow]int{}, Totals: map[string]int{}, Routes: map[Route]int64{},
		Deadlines: map[string]time.Duration{}, Warmups: map[string]time.Duration{},
	}
	h := ix.Host(host)
	if h == nil {
		return l
	}
	l.hosts = entryHostsOf(ix.Region(h.Region))
	p := hostRank{rank: slices.Index(l.hosts, host), count: len(l.hosts)}
	for i := range ix.Doc.Services {
		l.addService(ix, p, h.Region, &ix.Doc.Services[i])
	}
	for i := range ix.Doc.Regions {
		l.addRoute(ix.Doc, p, h.Region, "", ix.Doc.Regions[i].Name)
	}
	return l
}

func entryHostsOf(r *document.Region) []string {
	var out []string
	for _, d := range r.Domains {
		for _, h := range d.EntryHosts {
			out = append(out, h.Name)
		}
	}
	slices.Sort(out)
	return out
}

// Slots returns the number of slots that a region has for a service.
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

func (l *Limits) addService(ix *document.Index, hr hostRank, region string, s *document.Service) {
	slots := Slots(ix, s.Name, region)
	l.Totals[s.Name] = hr.partOf(capSlots(ix.Doc.Caps.Fill(s.Name, region), slots), s.Name)
	for _, c := range s.Classes {
		l.Deadlines[s.Name] = max(l.Deadlines[s.Name], c.Deadline.D())
	}
	l.Warmups[s.Name] = s.ColdStart.Warmup.D()
	for _, from := range ix.Doc.Regions {
		if from.Name == region {
			continue
		}
		share, _ := ix.Doc.Caps.Taken(s.Name, from.Name, region)
		l.Flows[Flow{Service: s.Name, From: from.Name}] = hr.partOf(capSlots(share, slots), s.Name+"/"+from.Name)
		l.addRoute(ix.Doc, hr, region, s.Name, from.Name)
	}
}

func (l *Limits) addRoute(doc *document.Document, p hostRank, region, service, to string) {
	mbps, ok := doc.LinkMbps(service, region, to)
	if !ok || to == region {
		return
	}
	const bytesPerMegabit = 1e6 / 8
	l.Routes[Route{Service: service, To: to}] = int64(mbps * bytesPerMegabit / float64(p.count))
}

func capSlots(share document.Percent, slots int) int {
	return int(math.Floor(share.Fraction() * float64(slots)))
}

// hostRank is a host's rank among the hosts that divide a cap.
type hostRank struct{ rank, count int }

// minPart is the part that a host receives before the next host receives any. If
// caps of a few slots were split further, senders would rarely find a host with a
// free slot.
const minPart = 2

// partOf returns this host's part of total. The parts of a set of hosts add up to
// total, and no part shrinks when total grows, so that hosts that divide different
// totals do not exceed the larger one together. The seed varies the order of the
// hosts.
func (p hostRank) partOf(total int, seed string) int {
	rank := (p.rank + int(xxhash.Sum64String(seed)%uint64(p.count))) % p.count
	remainder := total - minPart*p.count
	if remainder < 0 {
		return min(minPart, max(0, total-minPart*rank))
	}
	n := minPart + remainder/p.count
	if rank < remainder%p.count {
		n++
	}
	return n
}

// Takers reports for each host of a region whether it has a part of a flow's cap
// under a document. Senders use it to select hosts that can admit their work.
func Takers(ix *document.Index, f Flow, region string) map[string]bool {
	out := map[string]bool{}
	r := ix.Region(region)
	if r == nil {
		return out
	}
	share, _ := ix.Doc.Caps.Taken(f.Service, f.From, region)
	total := capSlots(share, Slots(ix, f.Service, region))
	hosts := entryHostsOf(r)
	for i, h := range hosts {
		out[h] = hostRank{rank: i, count: len(hosts)}.partOf(total, f.Service+"/"+f.From) > 0
	}
	return out
}

// minOf returns the smaller of both limits for every cap. A route that only one of
// them limits keeps that limit.
func (l *Limits) minOf(o *Limits) *Limits {
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
