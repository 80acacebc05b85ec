package share

import (
	"fmt"

	"cassiatray/internal/core/document"
)

// Drains is what the drains of a document mean for one service.
type Drains struct {
	Shifts []Shift
	// Places are the region or domain that each shift drains, by shift ID.
	Places map[string]Place
}

// Place is a region or a failure domain: one of both is set.
type Place struct{ Region, Domain string }

// DrainsOf returns the drains of regions and failure domains that matter to a
// service. Drains of single servers are not paced: other servers of the domain
// take their work.
func DrainsOf(ix *document.Index, service string) Drains {
	out := Drains{Places: map[string]Place{}}
	for _, d := range ix.Doc.Drains {
		p := Place{Region: d.Region, Domain: d.Domain}
		size := drainSize(ix, service, p)
		if p == (Place{}) || size <= 0 {
			continue
		}
		id := fmt.Sprintf("%s%s@%d", d.Region, d.Domain, d.At.UnixMicro())
		out.Shifts = append(out.Shifts, Shift{ID: id, Start: d.At, Until: d.Until, Size: size})
		out.Places[id] = p
	}
	return out
}

// drainSize is the work that a drain moves, as a part of the slots of the
// smallest region it concerns: the one drained or any that may take its work.
func drainSize(ix *document.Index, service string, p Place) float64 {
	if p.Domain != "" {
		return domainSize(ix, service, p.Domain)
	}
	own := Slots(ix, service, p.Region)
	least := own
	for i := range ix.Doc.Regions {
		if n := Slots(ix, service, ix.Doc.Regions[i].Name); n > 0 {
			least = min(least, n)
		}
	}
	if least == 0 {
		return 0
	}
	return float64(own) / float64(least)
}

func domainSize(ix *document.Index, service, domain string) float64 {
	s, d := ix.Service(service), ix.Domain(domain)
	if s == nil || d == nil {
		return 0
	}
	all := Slots(ix, service, d.Region)
	if all == 0 {
		return 0
	}
	return float64(len(s.In(domain))*s.Slots) / float64(all)
}

// Levels says how far places are drained for one service, from 0 to 1.
type Levels struct {
	Regions map[string]float64 `json:"regions,omitempty"`
	Domains map[string]float64 `json:"domains,omitempty"`
}

// At joins the levels of shifts by place.
func (d Drains) At(levels map[string]float64) Levels {
	out := Levels{Regions: map[string]float64{}, Domains: map[string]float64{}}
	for id, level := range levels {
		p := d.Places[id]
		switch {
		case p.Region != "":
			out.Regions[p.Region] = max(out.Regions[p.Region], level)
		case p.Domain != "":
			out.Domains[p.Domain] = max(out.Domains[p.Domain], level)
		}
	}
	return out
}

// Done reports whether every caller has left a failure domain.
func (l Levels) Done(domain, region string) bool {
	return l.Regions[region] >= 1 || l.Domains[domain] >= 1
}
