package share

import (
	"fmt"

	"cassiatray/internal/core/document"
)

// Drains holds the shifts of callers that a document's drains cause for one
// service.
type Drains struct {
	Shifts []Shift
	// Places is the region or domain that each shift drains, by shift ID.
	Places map[string]Place
}

// Place is a region or a failure domain. Exactly one field is set.
type Place struct{ Region, Domain string }

// DrainsOf returns the drains of the regions and failure domains that have slots
// for a service. Drains of single servers are not included: other servers of the
// domain take their work, so that no callers have to move.
func DrainsOf(ix *document.Index, service string) Drains {
	out := Drains{Places: map[string]Place{}}
	for _, d := range ix.Doc.Drains {
		p := Place{Region: d.Region, Domain: d.Domain}
		size := shiftSize(ix, service, p)
		if p == (Place{}) || size <= 0 {
			continue
		}
		id := fmt.Sprintf("%s%s@%d", d.Region, d.Domain, d.At.UnixMicro())
		out.Shifts = append(out.Shifts, Shift{ID: id, Start: d.At, Until: d.Until, Size: size})
		out.Places[id] = p
	}
	return out
}

// shiftSize returns the amount of work that a drain moves, as a fraction of the
// slots of the smallest region concerned: the drained one or any that may take
// its work.
func shiftSize(ix *document.Index, service string, p Place) float64 {
	if p.Domain != "" {
		return domainShiftSize(ix, service, p.Domain)
	}
	drained := Slots(ix, service, p.Region)
	smallest := drained
	for i := range ix.Doc.Regions {
		if n := Slots(ix, service, ix.Doc.Regions[i].Name); n > 0 {
			smallest = min(smallest, n)
		}
	}
	if smallest == 0 {
		return 0
	}
	return float64(drained) / float64(smallest)
}

func domainShiftSize(ix *document.Index, service, domain string) float64 {
	s, d := ix.Service(service), ix.Domain(domain)
	if s == nil || d == nil {
		return 0
	}
	regionSlots := Slots(ix, service, d.Region)
	if regionSlots == 0 {
		return 0
	}
	return float64(len(s.In(domain))*s.Slots) / float64(regionSlots)
}

// Levels is the progress of the drains of a service by place, from 0 to 1.
type Levels struct {
	Regions map[string]float64 `json:"regions,omitempty"`
	Domains map[string]float64 `json:"domains,omitempty"`
}

// At returns the levels of places, given the levels of shifts by shift ID. A place
// with several shifts has the highest of their levels.
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

// Done reports whether all callers have moved away from a failure domain.
func (l Levels) Done(domain, region string) bool {
	return l.Regions[region] >= 1 || l.Domains[domain] >= 1
}
