package document

import (
	"fmt"
	"time"
)

// maxShiftPeriod is the longest period of a shift cap.
const maxShiftPeriod = Duration(24 * time.Hour)

func (c *checker) caps() {
	c.serviceCaps()
	c.regionCaps()
	c.linkCaps()
	c.shiftCap("caps.shift", c.doc.Caps.Shift)
	seen := map[string]bool{}
	for i, s := range c.doc.Caps.Shifts {
		key := fmt.Sprintf("caps.shifts[%d]", i)
		c.requireService(key+".service", s.Service)
		if seen[s.Service] {
			c.addProblem(key+".service", "service %q already has a shift cap", s.Service)
		}
		seen[s.Service] = true
		c.shiftCap(key, ShiftCap{Share: s.Share, Per: s.Per})
	}
}

func (c *checker) shiftCap(key string, s ShiftCap) {
	if s.Per <= 0 || s.Per > maxShiftPeriod {
		c.addProblem(key+".per", "expected a duration above zero and up to %s, got %s", maxShiftPeriod, s.Per)
	}
}

// capScope identifies what a cap applies to.
type capScope struct{ service, from, to string }

func (c *checker) serviceCaps() {
	seen := map[capScope]bool{}
	for i, s := range c.doc.Caps.Services {
		key := fmt.Sprintf("caps.services[%d]", i)
		svc := c.requireService(key+".service", s.Service)
		if s.Region != "" && c.requireRegion(key+".region", s.Region) && svc != nil && c.slotsInRegion(svc, s.Region) == 0 {
			c.addProblem(key+".region", "%s has no servers of %s", s.Region, s.Service)
		}
		if s.Share <= 0 {
			c.addProblem(key+".share", "expected a share above zero: no server of the service could be used")
		}
		scope := capScope{service: s.Service, to: s.Region}
		if seen[scope] {
			c.addProblem(key, "the cap of %s in this region is given twice", s.Service)
		}
		seen[scope] = true
	}
}

func (c *checker) regionCaps() {
	seen := map[capScope]bool{}
	sums := map[capScope]Percent{}
	for i, r := range c.doc.Caps.Regions {
		key := fmt.Sprintf("caps.regions[%d]", i)
		svc := c.requireService(key+".service", r.Service)
		from := c.requireRegion(key+".from", r.From)
		to := c.requireRegion(key+".to", r.To)
		if svc == nil || !from || !to {
			continue
		}
		if r.From == r.To {
			c.addProblem(key+".to", "expected another region than %s", r.From)
			continue
		}
		scope := capScope{service: r.Service, from: r.From, to: r.To}
		if seen[scope] {
			c.addProblem(key, "the cap of %s from %s to %s is given twice", r.Service, r.From, r.To)
			continue
		}
		seen[scope] = true
		if r.Share > 0 && c.slotsInRegion(svc, r.To) == 0 {
			c.addProblem(key+".share", "%s has no servers of %s, so it can take nothing", r.To, r.Service)
		}
		receiver := capScope{service: r.Service, to: r.To}
		sums[receiver] += r.Share
		if limit := c.doc.Caps.Fill(r.Service, r.To); sums[receiver] > limit {
			c.addProblem(key+".share", "the caps of %s into %s come to %s, more than the %s it can take", r.Service, r.To, sums[receiver], limit)
		}
	}
}

func (c *checker) linkCaps() {
	sums := map[*Link]float64{}
	seen := map[*Link]map[string]bool{}
	for i, l := range c.doc.Caps.Links {
		key := fmt.Sprintf("caps.links[%d]", i)
		valid := c.linkEnds(key+".between", l.Between)
		if l.Service != "" && c.requireService(key+".service", l.Service) == nil || !valid {
			continue
		}
		link := c.doc.Link(l.Between[0], l.Between[1])
		if link == nil {
			c.addProblem(key+".between", "no link joins %s and %s", l.Between[0], l.Between[1])
			continue
		}
		if seen[link] == nil {
			seen[link] = map[string]bool{}
		}
		if seen[link][l.Service] {
			c.addProblem(key, "this cap is given twice")
		}
		seen[link][l.Service] = true
		c.linkCapacity(key, l, link, sums)
	}
}

// linkCapacity checks that the caps on a link do not exceed the capacity that
// this system may use.
func (c *checker) linkCapacity(key string, l LinkCap, link *Link, sums map[*Link]float64) {
	if l.Mbps < 1 {
		c.addProblem(key+".mbps", "expected at least 1, got %d", l.Mbps)
		return
	}
	limit, _ := c.doc.LinkMbps("", l.Between[0], l.Between[1])
	if l.Service == "" {
		limit = link.AllowedMbps()
	}
	if float64(l.Mbps) > limit {
		c.addProblem(key+".mbps", "%d Mbit/s is more than the %.0f Mbit/s that the link allows this system", l.Mbps, limit)
		return
	}
	if l.Service == "" {
		return
	}
	sums[link] += float64(l.Mbps)
	if sums[link] > limit {
		c.addProblem(key+".mbps", "the services' caps on this link come to %.0f Mbit/s, more than its %.0f", sums[link], limit)
	}
}

// slotsInRegion returns how many requests of a service a region runs
// concurrently.
func (c *checker) slotsInRegion(s *Service, region string) int {
	n := 0
	for _, b := range s.Servers {
		if c.domains[b.Domain] == region {
			n += s.Slots
		}
	}
	return n
}
