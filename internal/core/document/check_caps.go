package document

import (
	"fmt"
	"time"
)

// maxShiftPeriod bounds the period of a shift cap.
const maxShiftPeriod = Duration(24 * time.Hour)

func (c *checker) caps() {
	c.serviceCaps()
	c.regionCaps()
	c.linkCaps()
	c.shiftCap("caps.shift", c.doc.Caps.Shift)
	seen := map[string]bool{}
	for i, s := range c.doc.Caps.Shifts {
		key := fmt.Sprintf("caps.shifts[%d]", i)
		c.service(key+".service", s.Service)
		if seen[s.Service] {
			c.fail(key+".service", "service %q already has a shift cap", s.Service)
		}
		seen[s.Service] = true
		c.shiftCap(key, ShiftCap{Share: s.Share, Per: s.Per})
	}
}

func (c *checker) shiftCap(key string, s ShiftCap) {
	if s.Per <= 0 || s.Per > maxShiftPeriod {
		c.fail(key+".per", "expected a duration above zero and up to %s, got %s", maxShiftPeriod, s.Per)
	}
}

// capPlace is what a cap applies to.
type capPlace struct{ service, from, to string }

func (c *checker) serviceCaps() {
	seen := map[capPlace]bool{}
	for i, s := range c.doc.Caps.Services {
		key := fmt.Sprintf("caps.services[%d]", i)
		svc := c.service(key+".service", s.Service)
		if s.Region != "" && c.region(key+".region", s.Region) && svc != nil && c.slots(svc, s.Region) == 0 {
			c.fail(key+".region", "%s has no servers of %s", s.Region, s.Service)
		}
		if s.Share <= 0 {
			c.fail(key+".share", "expected a share above zero: no server of the service could be used")
		}
		place := capPlace{service: s.Service, to: s.Region}
		if seen[place] {
			c.fail(key, "the cap of %s in this region is given twice", s.Service)
		}
		seen[place] = true
	}
}

func (c *checker) regionCaps() {
	seen := map[capPlace]bool{}
	sums := map[capPlace]Percent{}
	for i, r := range c.doc.Caps.Regions {
		key := fmt.Sprintf("caps.regions[%d]", i)
		svc := c.service(key+".service", r.Service)
		from := c.region(key+".from", r.From)
		to := c.region(key+".to", r.To)
		if svc == nil || !from || !to {
			continue
		}
		if r.From == r.To {
			c.fail(key+".to", "expected another region than %s", r.From)
			continue
		}
		place := capPlace{service: r.Service, from: r.From, to: r.To}
		if seen[place] {
			c.fail(key, "the cap of %s from %s to %s is given twice", r.Service, r.From, r.To)
			continue
		}
		seen[place] = true
		if r.Share > 0 && c.slots(svc, r.To) == 0 {
			c.fail(key+".share", "%s has no servers of %s, so it can take nothing", r.To, r.Service)
		}
		into := capPlace{service: r.Service, to: r.To}
		sums[into] += r.Share
		if room := c.doc.Caps.Fill(r.Service, r.To); sums[into] > room {
			c.fail(key+".share", "the caps of %s into %s come to %s, more than the %s it can take", r.Service, r.To, sums[into], room)
		}
	}
}

func (c *checker) linkCaps() {
	sums := map[*Link]float64{}
	seen := map[*Link]map[string]bool{}
	for i, l := range c.doc.Caps.Links {
		key := fmt.Sprintf("caps.links[%d]", i)
		known := c.between(key+".between", l.Between)
		if l.Service != "" && c.service(key+".service", l.Service) == nil || !known {
			continue
		}
		link := c.doc.Link(l.Between[0], l.Between[1])
		if link == nil {
			c.fail(key+".between", "no link joins %s and %s", l.Between[0], l.Between[1])
			continue
		}
		if seen[link] == nil {
			seen[link] = map[string]bool{}
		}
		if seen[link][l.Service] {
			c.fail(key, "this cap is given twice")
		}
		seen[link][l.Service] = true
		c.linkRoom(key, l, link, sums)
	}
}

// linkRoom checks that caps on a link fit into what the link allows.
func (c *checker) linkRoom(key string, l LinkCap, link *Link, sums map[*Link]float64) {
	if l.Mbps < 1 {
		c.fail(key+".mbps", "expected at least 1, got %d", l.Mbps)
		return
	}
	room, _ := c.doc.LinkMbps("", l.Between[0], l.Between[1])
	if l.Service == "" {
		room = link.Allowed()
	}
	if float64(l.Mbps) > room {
		c.fail(key+".mbps", "%d Mbit/s is more than the %.0f Mbit/s that the link allows this system", l.Mbps, room)
		return
	}
	if l.Service == "" {
		return
	}
	sums[link] += float64(l.Mbps)
	if sums[link] > room {
		c.fail(key+".mbps", "the services' caps on this link come to %.0f Mbit/s, more than its %.0f", sums[link], room)
	}
}

// slots returns how many requests of a service a region runs at once.
func (c *checker) slots(s *Service, region string) int {
	n := 0
	for _, b := range s.Servers {
		if c.domains[b.Domain] == region {
			n += s.Slots
		}
	}
	return n
}
