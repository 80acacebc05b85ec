package document

import "fmt"

func (c *checker) topology() {
	hosts := map[string]bool{}
	for i, r := range c.doc.Regions {
		key := fmt.Sprintf("regions[%d]", i)
		c.checkName(key+".name", "region", r.Name, c.regions)
		if len(r.Domains) == 0 {
			c.addProblem(key+".domains", "expected at least one failure domain")
		}
		for j, d := range r.Domains {
			c.domain(fmt.Sprintf("%s.domains[%d]", key, j), r.Name, d, hosts)
		}
	}
}

func (c *checker) domain(key, region string, d Domain, hosts map[string]bool) {
	if !ValidName(d.Name) {
		c.addProblem(key+".name", "expected a name of lower-case letters, digits, dots, dashes and underscores, got %q", d.Name)
	} else if other, ok := c.domains[d.Name]; ok {
		c.addProblem(key+".name", "failure domain %q is already in region %q", d.Name, other)
	}
	c.domains[d.Name] = region
	if len(d.EntryHosts) == 0 {
		c.addProblem(key+".entryHosts", "expected at least one entry host")
	}
	for k, h := range d.EntryHosts {
		c.host(fmt.Sprintf("%s.entryHosts[%d]", key, k), h, hosts)
	}
}

func (c *checker) host(key string, h EntryHost, hosts map[string]bool) {
	c.checkName(key+".name", "entry host", h.Name, hosts)
	c.checkAddress(key+".caller", h.Caller)
	c.checkAddress(key+".entry", h.Entry)
	c.checkAddress(key+".steer", h.Steer)
	if !h.EntryOperator.IsZero() {
		c.checkAddress(key+".entryOperator", h.EntryOperator)
	}
	if !h.SteerOperator.IsZero() {
		c.checkAddress(key+".steerOperator", h.SteerOperator)
	}
}

// MaxMbps is the maximum capacity of a link, in Mbit/s.
const MaxMbps = 100_000_000

func (c *checker) links() {
	for i, l := range c.doc.Links {
		key := fmt.Sprintf("links[%d]", i)
		if c.linkEnds(key+".between", l.Between) && c.doc.Link(l.Between[0], l.Between[1]) != &c.doc.Links[i] {
			c.addProblem(key+".between", "the link between %s and %s is given twice", l.Between[0], l.Between[1])
		}
		if l.Mbps < 1 || l.Mbps > MaxMbps {
			c.addProblem(key+".mbps", "expected 1 to %d, got %d", MaxMbps, l.Mbps)
		}
		if l.Share <= 0 {
			c.addProblem(key+".share", "expected a share above zero")
		}
	}
}

// linkEnds checks the two regions of a link and reports whether they are valid.
func (c *checker) linkEnds(key string, ends []string) bool {
	if len(ends) != 2 || ends[0] == ends[1] {
		c.addProblem(key, "expected two different regions")
		return false
	}
	first := c.requireRegion(key+"[0]", ends[0])
	second := c.requireRegion(key+"[1]", ends[1])
	return first && second
}
