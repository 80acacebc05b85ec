package document

import "fmt"

func (c *checker) places() {
	hosts := map[string]bool{}
	for i, r := range c.doc.Regions {
		key := fmt.Sprintf("regions[%d]", i)
		c.name(key+".name", "region", r.Name, c.regions)
		if len(r.Domains) == 0 {
			c.fail(key+".domains", "expected at least one failure domain")
		}
		for j, d := range r.Domains {
			c.domain(fmt.Sprintf("%s.domains[%d]", key, j), r.Name, d, hosts)
		}
	}
}

func (c *checker) domain(key, region string, d Domain, hosts map[string]bool) {
	if !ValidName(d.Name) {
		c.fail(key+".name", "expected a name of lower-case letters, digits, dots, dashes and underscores, got %q", d.Name)
	} else if other, ok := c.domains[d.Name]; ok {
		c.fail(key+".name", "failure domain %q is already in region %q", d.Name, other)
	}
	c.domains[d.Name] = region
	if len(d.EntryHosts) == 0 {
		c.fail(key+".entryHosts", "expected at least one entry host")
	}
	for k, h := range d.EntryHosts {
		c.host(fmt.Sprintf("%s.entryHosts[%d]", key, k), h, hosts)
	}
}

func (c *checker) host(key string, h EntryHost, hosts map[string]bool) {
	c.name(key+".name", "entry host", h.Name, hosts)
	c.address(key+".caller", h.Caller)
	c.address(key+".entry", h.Entry)
	c.address(key+".steer", h.Steer)
	if !h.EntryOperator.IsZero() {
		c.address(key+".entryOperator", h.EntryOperator)
	}
	if !h.SteerOperator.IsZero() {
		c.address(key+".steerOperator", h.SteerOperator)
	}
}

// MaxMbps bounds the capacity of a link, in Mbit/s.
const MaxMbps = 100_000_000

func (c *checker) links() {
	for i, l := range c.doc.Links {
		key := fmt.Sprintf("links[%d]", i)
		if c.between(key+".between", l.Between) && c.doc.Link(l.Between[0], l.Between[1]) != &c.doc.Links[i] {
			c.fail(key+".between", "the link between %s and %s is given twice", l.Between[0], l.Between[1])
		}
		if l.Mbps < 1 || l.Mbps > MaxMbps {
			c.fail(key+".mbps", "expected 1 to %d, got %d", MaxMbps, l.Mbps)
		}
		if l.Share <= 0 {
			c.fail(key+".share", "expected a share above zero")
		}
	}
}

// between checks the two ends of a link.
func (c *checker) between(key string, ends []string) bool {
	if len(ends) != 2 || ends[0] == ends[1] {
		c.fail(key, "expected two different regions")
		return false
	}
	first := c.region(key+"[0]", ends[0])
	second := c.region(key+"[1]", ends[1])
	return first && second
}
